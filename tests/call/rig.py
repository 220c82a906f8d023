"""A border proxy in virtual time, with a scripted caller and scripted central servers. No sockets."""

from thorndale.call.border import Border
from thorndale.config.load import load_rule_set, parse
from thorndale.sip import message as m
from thorndale.sip.transaction import Hop

SETTINGS = """{
  listen: ["udp:127.0.0.1:5060", "tcp:127.0.0.1:5060"], trunk_groups: [{name: "a"}, {name: "b"}],
  servers: [{name: "box1", uri: "sip:127.0.0.1:6001", trunk_group: "a"},
            {name: "box2", uri: "sip:127.0.0.1:6002;transport=tcp", trunk_group: "b"}],
  call_types: [{name: "timetable", setup_target_ms: 1200, guard_ms: 9000, trunk_groups: ["a", "b"]},
               {name: "leaving-soon", setup_target_ms: 800, guard_ms: 6000, revenue: 6, trunk_groups: ["b", "a"]}],
  matching: {text: 'rule "a" { when prefix(number, "+22133") type leaving-soon } rule "b" { when prefix(number, "+221") type timetable }'}, %s}"""
LISTEN = [("udp", "127.0.0.1", 5060), ("tcp", "127.0.0.1", 5060)]
CALLER, SERVER1, SERVER2 = Hop("udp", "127.0.0.1", 7000), Hop("udp", "127.0.0.1", 6001), Hop("tcp", "127.0.0.1", 6002)
SDP = "v=0\r\ns=x\r\n"


class Rig:
    def __init__(self, extra="", seed=1, book=None):
        self.now, self.sent, self.log_lines, self.saved_copies = 1_000_000, [], [], []
        settings = parse(SETTINGS % extra)
        self.border = Border(
            settings,
            load_rule_set(settings, "test"),
            seed,
            LISTEN,
            lambda hop, data: self.sent.append((hop, data)),
            lambda level, event, **fields: self.log_lines.append((level, event, fields)),
            self.saved_copies.append,
            wall_offset_us=0,
        )
        self.border.start(self.now, book)

    def deliver(self, data, hop=CALLER):
        data = data.encode() if isinstance(data, str) else data
        self.border.receive(self.now, data, hop, hop.transport == "tcp")
        self.border.flush(self.now)

    def lost(self, hop, kind="lost"):
        self.border.lost(self.now, hop, kind)
        self.border.flush(self.now)

    def run(self, us):
        """Advances time by `us`, running each timer when it is due."""
        end = self.now + us
        while True:
            at = self.border.timers.next_at()
            if at is None or at > end:
                break
            self.now = max(self.now, at)
            self.border.run(self.now)
            self.border.flush(self.now)
        self.now = end

    def stall(self, us):
        """Advances time by `us` as one stall: timers that are due run only at its end."""
        self.now += us
        self.border.record_loop_delay(self.now, us)
        self.border.run(self.now)
        self.border.flush(self.now)

    def take_sent(self, hop=None):
        """The parsed messages sent (to this hop) since the last call."""
        matching_hop = [(h, m.parse(d)) for h, d in self.sent if hop is None or h[:3] == hop[:3]]
        self.sent = [(h, d) for h, d in self.sent if hop is not None and h[:3] != hop[:3]]
        return [message for _, message in matching_hop]

    def leaked_resources(self):
        self.border.finish()
        return {k: v for k, v in self.border.resources_in_use().items() if v}

    # ---- the caller ----

    def invite(
        self,
        number="+22170000123",
        branch="z9hG4bKc1",
        call="c1",
        hop=CALLER,
        body=SDP,
        extra="",
        tag="ct",
        method="INVITE",
        seq=1,
        caller="+221771234567",
    ):
        transport = hop.transport.upper()
        port = 7000
        return (
            f"{method} sip:{number}@127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/{transport} 127.0.0.1:{port};branch={branch}"
            f"\r\nMax-Forwards: 70\r\nFrom: <sip:{caller}@127.0.0.1>;tag={tag}\r\nTo: <sip:{number}@127.0.0.1>\r\n"
            f"Call-ID: {call}\r\nCSeq: {seq} {method}\r\nContact: <sip:{caller}@127.0.0.1:{port}>\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        )

    def cancel(self, **overrides):
        return self.invite(method="CANCEL", body="", **overrides)

    def in_dialog(self, method, answer, seq=1, branch="z9hG4bKin", hop=CALLER, body="", extra=""):
        """A caller's request inside the dialog that the response `answer` created."""
        uri, from_value, to_value = answer.contact.uri, answer.get("from"), answer.get("to")
        port = 7000 if hop == CALLER else hop.port
        return (
            f"{method} {uri} SIP/2.0\r\nVia: SIP/2.0/{hop.transport.upper()} 127.0.0.1:{port};branch={branch}\r\n"
            f"Max-Forwards: 70\r\nFrom: {from_value}\r\nTo: {to_value}\r\nCall-ID: {answer.call_id}\r\nCSeq: {seq} {method}\r\n"
            f"Contact: <sip:x@127.0.0.1:{port}>\r\n{extra}Content-Length: {len(body)}\r\n\r\n{body}"
        )

    # ---- a central server ----

    def answer(self, invite, status, tag="bt", extra="", hop=SERVER1, body=""):
        """Delivers the server's response to an INVITE or another request of the proxy."""
        response = m.response_to(invite, status, tag, body=body.encode())
        if 100 < status < 300:
            response.add(
                "Contact",
                f"<sip:box@127.0.0.1:{hop.port}" + (";transport=tcp>" if hop.conn or hop.transport == "tcp" else ">"),
            )
        for line in extra.split("\r\n"):
            if line:
                name, _, value = line.partition(": ")
                response.add(name, value)
        self.deliver(response.encode(), hop)

    def establish_call(self, hop=CALLER, **overrides):
        """Establishes a call at the server box1. Returns the caller's 200 and the server's INVITE."""
        self.deliver(self.invite(hop=hop, **overrides), hop)
        invite = self.sole_request(SERVER1, "INVITE")
        self.answer(invite, 100)
        self.answer(invite, 200, body=SDP)
        ok = [r for r in self.take_sent(hop) if r.status == 200][0]
        self.deliver(self.in_dialog("ACK", ok, hop=hop), hop)
        self.take_sent(SERVER1)
        return ok, invite

    def sole_request(self, hop, method):
        requests = [r for r in self.take_sent(hop) if r.method == method]
        assert len(requests) == 1, requests
        return requests[0]


def statuses(messages):
    return [r.status for r in messages if r.status]


def methods(messages):
    return [r.method for r in messages if r.method]
