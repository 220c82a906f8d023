"""The pool book: which central servers run, by SUBSCRIBE and NOTIFY (RFC 6665), and its copy on disk.

Event package `pool-book`; a NOTIFY's body is JSON:

    {"book": "a7", "version": 12, "full": false,
     "servers": [{"name": "box1", "state": "serving", "started_ms": 1764597600123}]}

`book` names the run of the book that counts the versions; `state` is serving, draining or gone; `started_ms` is the
wall clock at the server's start, 0 for long ago. A full one is the whole list. What comes twice or out of order is
passed over; after a gap the whole list is asked for by a new SUBSCRIBE inside the dialog, whose NOTIFY is full
(RFC 6665 section 4.4.1). A subscription that is lost leaves the last list in force.
"""

import msgspec
from xxhash import xxh64_hexdigest

from thorndale import interface as io
from thorndale.sip.dialog import Dialog, hop_of, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.headers import parse_params, parse_retry_after
from thorndale.sip.message import Message
from thorndale.sip.transaction import GONE

STATES = {"serving": io.SERVING, "draining": io.DRAINING, "gone": io.GONE}
MAX_SERVERS = 10_000  # entries of one notification
ASK_FIRST_US = 500_000  # us before a failed subscription is tried again, doubled after each failure
ASK_MOST_US = 8_000_000  # us of that at most: the rules count a list as told some 10 s after it could be known
REFRESH_PART = 0.7  # part of the granted time after which it is refreshed: leaves room for two tries


class Entry(msgspec.Struct, frozen=True):
    name: str
    state: str
    started_ms: int = 0


class Body(msgspec.Struct, frozen=True):
    book: str
    version: int
    full: bool
    servers: list[Entry]


def seal(body):
    """The list as it is kept on disk: one line of checksum, one of JSON. Bytes."""
    text = msgspec.json.encode(body)
    return b"thorndale pool book 1 " + xxh64_hexdigest(text).encode() + b"\n" + text + b"\n"


def unseal(data):
    """The Body of a sealed copy. Raises SipError where it is damaged, cut off or of another kind."""
    first, _, text = data.partition(b"\n")
    if not first.startswith(b"thorndale pool book 1 "):
        raise SipError("not a copy of the pool book, or of another version", "pool book on disk")
    if first.rsplit(b" ", 1)[1] != xxh64_hexdigest(text.rstrip(b"\n")).encode():
        raise SipError("the checksum does not fit: damaged or cut off", "pool book on disk")
    return read(text)


def read(text):
    """A notification's Body. Raises SipError."""
    try:
        body = msgspec.json.decode(text, type=Body)
    except msgspec.DecodeError as fault:
        raise SipError(str(fault), "pool book") from None
    if len(body.servers) > MAX_SERVERS:
        raise SipError(f"more than {MAX_SERVERS} servers", "pool book")
    for entry in body.servers:
        if entry.state not in STATES:
            raise SipError(f"{entry.name[:40]}: unknown state {entry.state[:20]!r}", "pool book")
    return body


class Book:
    """The subscriber. States: idle, asking (SUBSCRIBE out), following, waiting (for its next try).

    `border` gives timers, layer, names and chance; `keep(bytes)` is handed each list that came into force.
    """

    def __init__(self, border, settings, wall_offset_us, keep):
        self.border, self.keep, self.wall_offset_us = border, keep, wall_offset_us
        self.uri, self.expires_s = settings.book.uri, settings.book.expires_s
        self.servers = {s.name: n for n, s in enumerate(settings.servers)}
        groups = {g.name: n for n, g in enumerate(settings.trunk_groups)}
        self.group = [groups[s.trunk_group] for s in settings.servers]
        self.state, self.tries, self.dialog, self.timer = "idle", 0, None, None
        self.token, self.tag, self.call_id = "", "", ""
        self.body = None  # the list in force
        self.told = {"repeated": 0, "gaps": 0, "unknown": 0, "bad": 0, "lost": 0}

    # ---- the list ----

    def start(self, body):
        """The copy from disk, or None: then the servers of the settings stand in, all serving since long ago."""
        if body is None:
            entries = tuple(io.Server(n, self.group[n], io.SERVING, 0) for n in range(len(self.group)))
            self.border.door.tell(io.Servers(entries, True, True))
        else:
            self.body = body
            self.border.door.tell(io.Servers(self._entries(body.servers), True, True))

    def _entries(self, servers):
        """The module's entries; a server that is not in the settings is left out, counted and logged."""
        entries = []
        for entry in servers:
            index = self.servers.get(entry.name)
            if index is None:
                self.told["unknown"] += 1
                self.border.say("warning", "unknown server in the pool book", server=entry.name[:60])
                continue
            started = entry.started_ms * 1000 - self.wall_offset_us if entry.started_ms else 0
            entries.append(io.Server(index, self.group[index], STATES[entry.state], max(0, started)))
        return tuple(entries)

    def take(self, body):
        """A list or changes that came. True where a gap makes the whole list wanted."""
        held = self.body
        same = held is not None and held.book == body.book
        if same and body.version <= held.version:
            self.told["repeated"] += 1
            return False
        if body.full:
            self.body = body
        elif same and body.version == held.version + 1:
            merged = {e.name: e for e in held.servers}
            merged.update((e.name, e) for e in body.servers)
            left = [e for e in merged.values() if e.state != "gone"]
            self.body = Body(body.book, body.version, True, left)
        else:
            self.told["gaps"] += 1
            return True
        self.border.door.tell(io.Servers(self._entries(body.servers), body.full, False))
        self.keep(seal(self.body))
        return False

    # ---- the subscription ----

    def follow(self, now):
        """Asks for the list and its changes, unless that is under way."""
        if self.state in ("idle", "following"):
            self._ask(now)

    def _ask(self, now):
        border = self.border
        try:
            hop = self.dialog.hop if self.dialog else hop_of(self.uri)
        except SipError:
            return
        transport, host, port = border.local(hop)
        via = via_text(transport, host, port, border.branch())
        extra = [
            ("Event", "pool-book"),
            ("Expires", str(self.expires_s)),
            ("Accept", "application/json"),
            ("Contact", border.contact(hop)),
        ]
        if self.dialog is None:
            self.token, self.call_id = border.token(), border.token()
            self.tag = self.token + "s"
            border.owners[self.token] = self
            message = Message("SUBSCRIBE", self.uri)
            for name, value in (
                ("Via", via),
                ("Max-Forwards", "70"),
                ("From", f"<sip:proxy@{host}>;tag={self.tag}"),
                ("To", f"<{self.uri}>"),
                ("Call-ID", self.call_id),
                ("CSeq", "1 SUBSCRIBE"),
                *extra,
            ):
                message.add(name, value)
        else:
            message = self.dialog.request("SUBSCRIBE", via, extra)
        self.state = "asking"
        if border.layer.request(now, message, hop, self) is None:
            self._again(now)

    def response(self, now, tx, message):
        if message.status < 200 or self.state in ("waiting", "stopped"):
            return
        if message.status >= 300:
            self._drop(now)
            return
        try:
            if self.dialog is None:
                self.dialog = Dialog.of_response(tx.message, message, tx.hop)
            else:
                self.dialog.refresh(message)
        except SipError:
            self._drop(now)
            return
        self._granted(now, message.get("expires"))

    def failed(self, now, tx, kind):
        if self.state not in ("waiting", "stopped"):
            self._drop(now)

    def _granted(self, now, said):
        granted = int(said) if said.isascii() and said.isdigit() and len(said) < 8 else self.expires_s
        self.state, self.tries = "following", 0
        self._set(now + max(200_000, int(min(granted, self.expires_s) * REFRESH_PART * 1e6)))

    def _set(self, at):
        self.border.timers.cancel(self.timer)
        self.timer = self.border.timers.set(at, self, "book")

    def _drop(self, now):
        """The subscription is gone; the list stays. The module asks for another, this one waits first."""
        self.told["lost"] += 1
        self.border.owners.pop(self.token, None)
        self.dialog = None
        self._again(now)
        self.border.door.tell(io.ListFailed())

    def _again(self, now, wait=0):
        self.state = "waiting"
        gap = min(ASK_MOST_US, ASK_FIRST_US << min(self.tries, 8))
        self.tries += 1
        self._set(now + max(wait, int(gap * (1 + self.border.chance()) / 2)))  # drawn: or all would ask at once

    def due(self, now, name):
        self.timer = None
        self._ask(now)

    # ---- its notifications ----

    def request(self, now, tag, tx, message):
        """A request inside the subscription's dialog: NOTIFY, or what has no place here."""
        if message.method != "NOTIFY":
            tx.respond(now, 405, extra=[("Allow", "NOTIFY")])
            return
        if message.call_id != self.call_id or tag != self.tag:
            tx.respond(now, 481)
            return
        if message.get("event").partition(";")[0].strip() != "pool-book":
            tx.respond(now, 489)
            return
        if self.dialog is not None and not self.dialog.in_order(message):
            tx.respond(now, 500, extra=[("Retry-After", "1")])
            return
        state, _, rest = message.get("subscription-state").partition(";")
        gap = False
        if message.body:
            try:
                gap = self.take(read(message.body))
            except SipError as fault:
                self.told["bad"] += 1
                self.border.say("warning", "pool book refused", reason=str(fault))
                tx.respond(now, 400)
                return
        tx.respond(now, 200)
        if state.strip().lower() == "terminated":
            wait = parse_retry_after(parse_params(rest).get("retry-after", "")) * 1_000_000
            self.told["lost"] += 1
            self.border.owners.pop(self.token, None)
            self.dialog = None
            self._again(now, wait)
        elif gap and self.state == "following":
            self._ask(now)

    def stop(self, now):
        """Ends the subscription (Expires 0) and asks no more."""
        self.border.timers.cancel(self.timer)
        self.timer = None
        if self.dialog is not None:
            transport, host, port = self.border.local(self.dialog.hop)
            via = via_text(transport, host, port, self.border.branch())
            message = self.dialog.request(
                "SUBSCRIBE",
                via,
                [("Event", "pool-book"), ("Expires", "0"), ("Contact", self.border.contact(self.dialog.hop))],
            )
            self.border.layer.request(now, message, self.dialog.hop, GONE)
        self.state, self.dialog = "stopped", None
        self.border.owners.pop(self.token, None)
