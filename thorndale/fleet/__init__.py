"""Protocol between the border proxies of one fleet: membership, retry leases and failure reports. Cores without I/O:
messages, time and a seed go in; messages and views come out. No obligation of a proxy depends on receiving messages: a
partitioned proxy uses its own equal share. See docs/fleet.md.
"""
