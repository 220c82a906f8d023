"""Dialogs (RFC 3261 section 12): what both ends of a call remember of each other.

A dialog makes the requests that go inside it and judges those that come. It holds no transaction and no timer.
"""

from thorndale.sip import headers as h
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import Hop
from thorndale.sip.uri import host_port, parse_uri

PORTS = {"udp": 5060, "tcp": 5060}


def hop_of(uri_text):
    """Where a request for this URI goes: transport, address and port written there, else UDP and 5060. Names are
    not looked up. Raises SipError."""
    uri = parse_uri(uri_text)
    transport = uri.params.get("transport", "udp").lower()
    if transport not in PORTS or uri.scheme != "sip":
        raise SipError(f"transport {transport[:10]!r} is not served", "URI")
    host = uri.params.get("maddr") or uri.host
    if not (":" in host or host.replace(".", "").isdigit()):
        raise SipError(f"{host[:40]!r} is no address", "URI")
    return Hop(transport, host, uri.port or PORTS[transport], 0)


class Dialog:
    """One side's view. `local` and `remote` are the From and To texts of its own requests, tags included.

    `made_by_us` tells who sent the INVITE. `routes` are Route values in the order in which they go out.
    """

    __slots__ = (
        "call_id",
        "local",
        "remote",
        "local_tag",
        "remote_tag",
        "target",
        "routes",
        "local_seq",
        "remote_seq",
        "hop",
        "made_by_us",
    )

    def __init__(
        self, call_id, local, remote, local_tag, remote_tag, target, routes, local_seq, remote_seq, hop, made_by_us
    ):
        self.call_id, self.local, self.remote = call_id, local, remote
        self.local_tag, self.remote_tag, self.target, self.routes = local_tag, remote_tag, target, routes
        self.local_seq, self.remote_seq, self.hop, self.made_by_us = local_seq, remote_seq, hop, made_by_us

    @classmethod
    def of_request(cls, invite, local_tag, hop):
        """The called side's view, from the INVITE (12.1.1). `hop` is where it came from: kept for a stream, whose
        connection serves both ways. Raises SipError."""
        contact = invite.contact
        if contact is None:
            raise SipError("is missing", "Contact")
        routes = tuple(invite.all("record-route"))
        to = invite.get("to")
        dialog = cls(
            invite.call_id,
            f"{to};tag={local_tag}",
            invite.get("from"),
            local_tag,
            invite.from_tag,
            contact.uri,
            routes,
            0,
            invite.cseq[0],
            hop,
            False,
        )
        if hop.transport != "tcp":
            dialog.hop = dialog.next_hop()
        return dialog

    @classmethod
    def of_response(cls, invite, response, hop):
        """The calling side's view, from its INVITE and a response with a To tag (12.1.2). Raises SipError."""
        contact = response.contact
        target = contact.uri if contact is not None else invite.uri
        routes = tuple(reversed(response.all("record-route")))
        dialog = cls(
            invite.call_id,
            invite.get("from"),
            response.get("to"),
            invite.from_tag,
            response.to_tag,
            target,
            routes,
            invite.cseq[0],
            0,
            hop,
            True,
        )
        wanted = dialog.next_hop()
        if wanted.transport != hop.transport or hop.conn == 0:
            dialog.hop = wanted
        return dialog

    def next_hop(self):
        """The first route's address, else the target's. Raises SipError."""
        return hop_of(h.parse_address(self.routes[0]).uri if self.routes else self.target)

    def is_of(self, request):
        """Whether this request from the other side belongs here (12.2.2)."""
        return (
            request.call_id == self.call_id and request.to_tag == self.local_tag and request.from_tag == self.remote_tag
        )

    def in_order(self, request):
        """Whether the request's CSeq is newer than all before; then it is the newest (12.2.2). An ACK takes the
        number of its INVITE and is always in order."""
        number, method = request.cseq
        if method == "ACK":
            return True
        if number <= self.remote_seq:
            return False
        self.remote_seq = number
        return True

    def refresh(self, message):
        """Takes a new target from a request or 2xx that refreshes it: re-INVITE, UPDATE (12.2.1.2, 12.2.2)."""
        try:
            contact = message.contact
            if contact is not None and contact.uri != self.target:
                hop_of(contact.uri)
                self.target = contact.uri
                if self.hop.conn == 0:
                    self.hop = self.next_hop()
        except SipError:
            return

    def request(self, method, via, extra=(), body=b"", seq=0):
        """A request inside the dialog (12.2.1.1). `seq` for an ACK or CANCEL: the number of its INVITE; else the
        next one is taken. `extra` is pairs of name and value."""
        if not seq:
            self.local_seq += 1
            seq = self.local_seq
        uri, routes = self.target, self.routes
        if routes:
            first = h.parse_address(routes[0]).uri
            if "lr" not in parse_uri(first).params:  # a strict router: it wants itself in the Request-URI
                uri, routes = first, (*routes[1:], f"<{self.target}>")
        message = Message(method, uri)
        message.fields = [
            ("via", "Via", via),
            ("max-forwards", "Max-Forwards", "70"),
            ("from", "From", self.local),
            ("to", "To", self.remote),
            ("call-id", "Call-ID", self.call_id),
            ("cseq", "CSeq", f"{seq} {method}"),
        ]
        for route in routes:
            message.add("Route", route)
        for name, value in extra:
            message.add(name, value)
        message.body = body
        return message


def via_text(transport, host, port, branch):
    """A Via of our own, asking for rport (RFC 3581)."""
    return f"SIP/2.0/{transport.upper()} {host_port(host, port)};branch={branch};rport"
