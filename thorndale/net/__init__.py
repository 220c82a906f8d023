"""Sockets on asyncio: UDP and TCP, their bounds and back-pressure. Bytes and hops go by; nothing is decided."""
