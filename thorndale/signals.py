"""The signals that tell a process to end or to read its settings anew, and how it ends while they still come."""

import signal

TOLD_TO_END = (signal.SIGTERM, signal.SIGINT)
TOLD_TO_RELOAD = signal.SIGHUP


def hold_off():
    """From now on none of them has any effect. For the end: the loop takes its handlers off as it closes, and one that
    came between that and the end of the process would end it by the signal."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (*TOLD_TO_END, TOLD_TO_RELOAD))
