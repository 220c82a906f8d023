"""A discrete-event simulation of a fleet: many proxies that run the real decision module and site router, servers on
the processor model of the stand-ins, callers with patience and redials, and a server list and load reports that arrive
late. Seeded, in whole microseconds of virtual time, without I/O.

`fleet.Fleet(day).run()` returns a `fleet.DayResult`. Not modelled: bytes and connections. Messages are lost only on the
links that the day lists.
"""
