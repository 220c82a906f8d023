"""A fleet in virtual time: many proxies running the very module and sites, servers on the stand-ins' processor model,
callers with patience and redials, a list and reports that come late. Seeded, whole microseconds, no I/O.

`fleet.Fleet(day).run()` gives a `fleet.Played`. What it leaves out: bytes, connections, lost messages.
"""
