"""Dialogs (RFC 3261 section 12): the state that each end of a call keeps about the other.

A dialog builds the requests sent within it and checks those received. It holds no transaction and no timer.
"""

from thorndale.sip import headers as h
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import Hop
from thorndale.sip.uri import host_port, parse_uri

DEFAULT_PORTS = {"udp": 5060, "tcp": 5060}


def hop_for_uri(uri_text):
    """The hop for a request to this URI: its transport, address and port, by default UDP and 5060.

    Host names are not resolved, only IP addresses are accepted. Raises SipError.
    """
    uri = parse_uri(uri_text)
    transport = uri.params.get("transport", "udp").lower()
    if transport not in DEFAULT_PORTS or uri.scheme != "sip":
        raise SipError(f"transport {transport[:10]!r} is not served", "URI")
    host = uri.params.get("maddr") or uri.host
    if not (":" in host or host.replace(".", "").isdigit()):
        raise SipError(f"{host[:40]!r} is no address", "URI")
    return Hop(transport, host, uri.port or DEFAULT_PORTS[transport], 0)


class Dialog:
    """One side's view of a dialog.

    `local` and `remote` are the From and To values of this side's requests, tags included. `sent_invite` is true if
    this side sent the INVITE. `routes` are Route values in the order in which they are sent.
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
        "sent_invite",
    )

    def __init__(
        self, call_id, local, remote, local_tag, remote_tag, target, routes, local_seq, remote_seq, hop, sent_invite
    ):
        self.call_id, self.local, self.remote = call_id, local, remote
        self.local_tag, self.remote_tag, self.target, self.routes = local_tag, remote_tag, target, routes
        self.local_seq, self.remote_seq, self.hop, self.sent_invite = local_seq, remote_seq, hop, sent_invite

    @classmethod
    def from_invite(cls, invite, local_tag, hop):
        """The called side's view, from the INVITE (12.1.1). Raises SipError.

        `hop` is the source of the INVITE. It is kept for a stream, since the connection carries requests in both
        directions.
        """
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
    def from_response(cls, invite, response, hop):
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
        next_hop = dialog.next_hop()
        if next_hop.transport != hop.transport or hop.conn == 0:
            dialog.hop = next_hop
        return dialog

    def next_hop(self):
        """The hop of the first route or, without routes, of the target. Raises SipError."""
        return hop_for_uri(h.parse_address(self.routes[0]).uri if self.routes else self.target)

    def matches_request(self, request):
        """Whether this request from the other side belongs to this dialog (12.2.2)."""
        return (
            request.call_id == self.call_id and request.to_tag == self.local_tag and request.from_tag == self.remote_tag
        )

    def accept_cseq(self, request):
        """Records the request's CSeq and returns True if it is higher than all earlier ones (12.2.2).

        An ACK has the number of its INVITE, so it is always accepted and not recorded.
        """
        number, method = request.cseq
        if method == "ACK":
            return True
        if number <= self.remote_seq:
            return False
        self.remote_seq = number
        return True

    def refresh_target(self, message):
        """Takes the remote target from a target refresh request or its 2xx: re-INVITE, UPDATE (12.2.1.2, 12.2.2).

        A Contact that is malformed or has no usable address leaves the target as it is.
        """
        try:
            contact = message.contact
            if contact is not None and contact.uri != self.target:
                hop_for_uri(contact.uri)
                self.target = contact.uri
                if self.hop.conn == 0:
                    self.hop = self.next_hop()
        except SipError:
            return

    def request(self, method, via, extra=(), body=b"", seq=0):
        """A request within the dialog (12.2.1.1).

        `seq` is the CSeq number of the INVITE for an ACK or CANCEL; 0 takes the next number. `extra` is pairs of
        header name and value.
        """
        if not seq:
            self.local_seq += 1
            seq = self.local_seq
        uri, routes = self.target, self.routes
        if routes:
            first = h.parse_address(routes[0]).uri
            if "lr" not in parse_uri(first).params:  # a strict router requires its own URI in the Request-URI
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
    """The Via value of a request sent from here, with the rport parameter (RFC 3581)."""
    return f"SIP/2.0/{transport.upper()} {host_port(host, port)};branch={branch};rport"
