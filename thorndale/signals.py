"""Signals that stop a process or reload its settings, blocked while the process has no handlers for them."""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


ALL = (*STOP_SIGNALS, RELOAD_SIGNAL)


def block():
    """Blocks the signals until `unblock`. Without a handler each of them would kill the process: at the start, before
    the event loop has its handlers, and at the end, after the loop has removed them on closing."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ALL)


def unblock():
    """Unblocks the signals once handlers are installed; those pending since `block` are delivered now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ALL)
