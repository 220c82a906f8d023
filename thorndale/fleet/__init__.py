"""What the border proxies of one fleet tell each other. Cores without I/O: messages, time and a seed in; messages and
views out. Nothing that a proxy must keep rests on being heard: deaf, it acts on its own equal part. docs/fleet.md.
"""
