"""The pool book: notifies subscribed proxies of server states, after a delay (RFC 6665)."""

import msgspec

from thorndale.net.clock import now_us
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.standins.agent import Agent


class PoolBook(Agent):
    """Each proxy is notified of a change after a random 0.5 to 1.5 times `notice_us`."""

    def __init__(self, loop, limits, port, notice_us, random, observe, times=None):
        super().__init__(loop, limits, "book", observe, times)
        self.listener = ("udp", "127.0.0.1", port)
        self.notice_us, self.random = notice_us, random
        self.version, self.server_states, self.subscribers, self.log = 0, {}, {}, []
        self.edition = f"{now_us():x}"  # identifies this run of the book; versions count within it
        self.duplicate_notices = False  # sends each notification twice, so that it may arrive after a newer one
        self.extra_delay_us = {}  # {port of a proxy: added delay of its notifications}

    def start(self):
        self.open([self.listener])

    def uri(self):
        return f"sip:book@127.0.0.1:{self.listener[2]}"

    def change(self, now, name, state, started_ms):
        """Records a state change of a server and schedules its notifications."""
        self.version += 1
        self.server_states[name] = {"name": name, "state": state, "started_ms": started_ms}
        if state == "gone":
            del self.server_states[name]
        entry = {"name": name, "state": state, "started_ms": started_ms}
        body = {"book": self.edition, "version": self.version, "full": False, "servers": [entry]}
        for tag in sorted(self.subscribers):
            delay_us = int(self.notice_us * (0.5 + self.random()))
            delay_us += self.extra_delay_us.get(self.subscribers[tag].dialog.hop.port, 0)
            at = max(now + delay_us, self.subscribers[tag].last_at + 1)
            self.subscribers[tag].last_at = at
            self.timers.set(at, self.subscribers[tag], body)
            if self.duplicate_notices:
                self.timers.set(at + 50_000, self.subscribers[tag], body)
        self.arm()

    def request(self, now, tx, message):
        if message.method != "SUBSCRIBE":
            tx.respond(now, 405, "x")
            return
        expires = message.get("expires", "60")
        tag = message.to_tag
        if tag:
            subscriber = self.subscribers.get(tag)
            if subscriber is None:
                tx.respond(now, 481)
                return
            tx.respond(now, 200, extra=[("Expires", expires), ("Contact", self.contact("udp"))])
        else:
            tag = f"b{now:x}{len(self.subscribers)}"
            try:
                dialog = Dialog.from_invite(message, tag, tx.hop)
            except SipError:
                tx.respond(now, 400, "x")
                return
            subscriber = self.subscribers[tag] = Subscriber(self, dialog)
            tx.respond(now, 200, tag, extra=[("Expires", expires), ("Contact", self.contact("udp"))])
        if expires == "0":
            self.subscribers.pop(tag, None)
            subscriber.notify(now, None, "terminated;reason=timeout")
            return
        full_body = {
            "book": self.edition,
            "version": self.version,
            "full": True,
            "servers": list(self.server_states.values()),
        }
        subscriber.notify(now, full_body)

    def forget_all(self):
        """Drops all subscriptions, as a restart that preserves only the server list does."""
        self.subscribers.clear()


class Subscriber:
    __slots__ = ("book", "dialog", "last_at")

    def __init__(self, book, dialog):
        self.book, self.dialog, self.last_at = book, dialog, 0

    def due(self, now, body):
        if self.book.subscribers.get(self.dialog.local_tag) is self:
            self.notify(now, body)

    def notify(self, now, body, state="active;expires=60"):
        book = self.book
        via = via_text("udp", "127.0.0.1", book.port, book.branch())
        data = msgspec.json.encode(body) if body else b""
        extra = [("Event", "pool-book"), ("Subscription-State", state), ("Contact", book.contact("udp"))]
        if data:
            extra.append(("Content-Type", "application/json"))
        book.layer.request(now, self.dialog.request("NOTIFY", via, extra, data), self.dialog.hop, self)

    def response(self, now, tx, message):
        if message.status == 481:
            self.book.subscribers.pop(self.dialog.local_tag, None)

    def failed(self, now, tx, kind):
        self.book.subscribers.pop(self.dialog.local_tag, None)
