"""A call and its attempts at central servers, as the core keeps them: what they are, no decision."""


class Call:
    """A call from its set-up to its release. `forwarded`: an INVITE was written for it. `index` is the module's number,
    -1 where the module does not know it. `tried`: the central servers that it had seizures at."""

    __slots__ = (
        "connection",
        "id",
        "text",
        "number",
        "kind",
        "body",
        "index",
        "seizure",
        "sent",
        "central",
        "last",
        "over",
        "forwarded",
        "tried",
    )

    def __init__(self, connection, call, setup, kind):
        self.connection, self.id, self.text, self.number, self.kind = connection, call, call.hex(), setup.number, kind
        self.body, self.index, self.seizure, self.sent = setup.description, -1, None, 0
        self.central, self.last, self.over, self.forwarded, self.tried = None, -1, False, False, ()


class Seizure:
    """One set-up at a central server, wanted from `since` to `until`. `sent_at`: when its INVITE was written, None
    before. `over`: its end was told; an answer that comes still is released at once. `again`: the call had one at this
    server before. `released`: the cause with which its server released the call before its answer was read, or None."""

    __slots__ = (
        "border",
        "call",
        "number",
        "central",
        "link",
        "since",
        "until",
        "sent_at",
        "timer",
        "over",
        "again",
        "released",
    )

    def __init__(self, border, call, number, central, now, until):
        self.border, self.call, self.number, self.central = border, call, number, central
        self.since, self.until, self.sent_at = now, until, None
        self.link, self.timer, self.over, self.released = None, None, False, None
        self.again = central in call.tried
        if not self.again:
            call.tried += (central,)

    def due(self, now, name):
        self.timer = None
        self.border.timed_out(now, self)
