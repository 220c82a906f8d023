"""State of a call and of its seizures at central servers, as the core keeps it; no decisions are made here."""


class Call:
    """A call from its set-up to its release. `id` is the id on the wire, `hex_id` the same as hex text. `forwarded`: an
    INVITE was written for it. `index` is the call's number at the module, -1 if the module has none. `central`: the
    server at which it is established, else None. `last_outcome`: of its latest seizure, else -1. `tried_servers`: the
    central servers at which it had seizures."""

    __slots__ = (
        "connection",
        "id",
        "hex_id",
        "number",
        "call_type",
        "description",
        "index",
        "seizure",
        "seizure_count",
        "central",
        "last_outcome",
        "finished",
        "forwarded",
        "tried_servers",
    )

    def __init__(self, connection, call_id, setup, call_type):
        self.connection, self.id, self.hex_id, self.number, self.call_type = (
            connection,
            call_id,
            call_id.hex(),
            setup.number,
            call_type,
        )
        self.description, self.index, self.seizure, self.seizure_count = setup.description, -1, None, 0
        self.central, self.last_outcome, self.finished, self.forwarded, self.tried_servers = None, -1, False, False, ()


class Seizure:
    """One set-up at a central server, from `requested_at` to `deadline`. `sent_at`: when its INVITE was written, None
    before. `finished`: its end was reported; a later answer is released at once. `is_repeat`: the call had an earlier
    seizure at this server. `early_cause`: the cause with which the server released the call before its answer was
    read, else None."""

    __slots__ = (
        "border",
        "call",
        "number",
        "central",
        "link",
        "requested_at",
        "deadline",
        "sent_at",
        "timer",
        "finished",
        "is_repeat",
        "early_cause",
    )

    def __init__(self, border, call, number, central, now, deadline):
        self.border, self.call, self.number, self.central = border, call, number, central
        self.requested_at, self.deadline, self.sent_at = now, deadline, None
        self.link, self.timer, self.finished, self.early_cause = None, None, False, None
        self.is_repeat = central in call.tried_servers
        if not self.is_repeat:
            call.tried_servers += (central,)

    def due(self, now, name):
        self.timer = None
        self.border.timed_out(now, self)
