"""The signals that tell a process to end or to read its settings anew, and how it starts and ends while they come."""

import signal

TOLD_TO_END = (signal.SIGTERM, signal.SIGINT)
TOLD_TO_RELOAD = signal.SIGHUP


ALL = (*TOLD_TO_END, TOLD_TO_RELOAD)


def block():
    """From now on none of them has any effect until `unblock`. While a process has no handlers, one that came would end
    it by the signal: before the loop has them, and after it has taken them off as it closes."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ALL)


def unblock():
    """The handlers are there: what came since `block` has its effect now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ALL)
