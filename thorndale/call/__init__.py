"""One call from the caller's INVITE to its end, without I/O: two legs, what the module is told, what its actions
become on the wire.

`border.Border` is the package's entry point. Wherever it takes `settings`, it reads the attributes of
`thorndale.config.settings.Settings` and imports nothing of that package.
"""
