"""Site failover: which site each call is offered to, how much of a lost site's traffic the other sites accept, and how
a site that has recovered returns to use. Pure: no I/O, no clock and no random source of its own.

The router is the package's entry point and has the same interface as the decision module. It offers each call to one
site at a time; the module decides the rest: server, seizures, retries, overload control and pacing. See docs/sites.md.
"""
