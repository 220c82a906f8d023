"""Loopback ports for stand-ins and test rigs; no two runs on one machine get the same port.

Ports are allocated from blocks. A block belongs to the process that holds its lock, an abstract Unix socket that the
kernel releases when the process ends. All blocks are below the ephemeral range, from which the kernel takes ports for
outgoing connections and for binds to port 0, so that no other process takes a port while its owner has it closed.
"""

import itertools
import socket

FIRST_PORT, BLOCK_PORTS, BLOCKS = 16_384, 64, 256
_block_locks = []  # of this process, held until it ends


class NoPortsError(Exception):
    """All port blocks of this machine are in use."""


def _lock_block(block):
    """Locks a block; None if another process holds its lock."""
    lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        lock.bind(f"\0thorndale-ports-{block}")
    except OSError:
        lock.close()
        return None
    return lock


def _blocks():
    for block in range(BLOCKS):
        lock = _lock_block(block)
        if lock is not None:
            _block_locks.append(lock)
            yield range(FIRST_PORT + block * BLOCK_PORTS, FIRST_PORT + (block + 1) * BLOCK_PORTS)


_ports = itertools.chain.from_iterable(_blocks())


def _can_be_bound(host, port):
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(family, kind) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def reserve_port(host="127.0.0.1"):
    """Reserves a port for UDP and TCP until this process ends. Raises NoPortsError.

    Connections of an earlier owner may still be in TIME_WAIT, so a listener needs SO_REUSEADDR, which
    `socket.create_server` and asyncio's servers set."""
    for port in _ports:
        if _can_be_bound(host, port):
            return port
    raise NoPortsError("no block of ports is free on this machine; end other runs first")
