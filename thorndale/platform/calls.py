"""State of a call and of its seizures at central servers, as the core keeps it; no decisions are made here."""

MAX_CALLER_CONNECTIONS = 4  # per established call; each one gets its release


class Call:
    """A call from its set-up to its release. `id` is the id on the wire, `hex_id` the same as hex text. `forwarded`: an
    INVITE was written for it. `index` is the call's number at the module, -1 if the module has none. `central`: the
    server at which it is established, else None. `last_outcome`: of its latest seizure, else -1. `tried_servers`: the
    central servers at which it had seizures. `caller_connections`: once established, the open connections on which its
    caller has set it up or named it, oldest first. `earlier`: the io.EarlierAttempt for a set-up with the same id, this
    one's own attempts included."""

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
        "caller_connections",
        "earlier",
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
        self.caller_connections, self.earlier = (), None

    def add_caller_connection(self, connection):
        """Records that the caller of the established call has used this connection for it. Beyond the limit, the oldest
        naming is dropped; the connection of the set-up stays, since whoever names the call may be another caller."""
        if connection in self.caller_connections:
            return
        self.caller_connections += (connection,)
        connection.established.add(self.id)
        if len(self.caller_connections) > MAX_CALLER_CONNECTIONS:
            self.remove_caller_connection(self.caller_connections[1])

    def remove_caller_connection(self, connection):
        connection.established.discard(self.id)
        self.caller_connections = tuple(other for other in self.caller_connections if other is not connection)


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
