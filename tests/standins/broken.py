"""Border proxies with one injected defect each: `python broken.py FAULT run FILE`. The auditor must report its rule."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2]))  # run as a script, not installed

from thorndale.call import border, call, decision
from thorndale.call.book import BookSubscriber, Entry
from thorndale.call.call import Call
from thorndale.call.seizure import Seizure
from thorndale.cli.main import app


def second_seizure():
    """Every eighth call seizes a second server at the same time."""
    seize = Call.seize

    def seize_two(self, now, server, timeout_us):
        seize(self, now, server, timeout_us)
        if self.index % 8 == 0:
            other = Seizure(self, 7, (server + 1) % len(self.border.server_hops))
            other.send(now, timeout_us)
            other.state = "given up"  # releases its answers, so that the proxy breaks no other rule

    Call.seize = seize_two


def no_answer():
    """A call that is given up or rejected gets no final answer."""

    def end_without_answer(self, now, status, extra, how, reason=""):
        self.module_open = False
        self.border.call_ended(self, how, status)
        self._close()

    Call._answer_failure = end_without_answer


def after_the_drain():
    """The state 'draining' in the server list is treated as 'serving'."""
    entries = BookSubscriber._module_entries
    BookSubscriber._module_entries = lambda self, servers: entries(
        self, [Entry(e.name, "serving" if e.state == "draining" else e.state, e.started_ms) for e in servers]
    )


def no_release_wait():
    """The decision module gets a release wait of 0."""
    original = decision.module_settings
    decision.module_settings = lambda settings: {**original(settings), "release_us": 0}


def cold_pushed():
    """The decision module never treats a server as cold, failed, slow or full."""
    from thorndale.policy import Proxy

    Proxy._is_cold = lambda self, s: False
    Proxy._is_usable = lambda self, s: True
    Proxy._admitted_fraction = lambda self, s: 1.0


if __name__ == "__main__":
    assert border and call
    globals()[sys.argv[1]]()
    sys.argv = ["thorndale", *sys.argv[2:]]
    app()
