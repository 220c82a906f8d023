"""UDP and TCP sockets on asyncio with limits and back-pressure. Moves bytes between hops; makes no decisions."""
