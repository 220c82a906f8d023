"""Losing a site: which site a call is offered to, how much of a lost site's traffic another takes, and how a returned
one is used again. Pure: no I/O, clock or chance of its own.

`router.Sites` is the package's entry point and stands where the module stands. It offers each call to one site at a
time, and the module decides the rest: server, seizures, retries, press and pace. See docs/sites.md.
"""
