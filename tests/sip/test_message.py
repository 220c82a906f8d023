"""Messages, headers, URIs and framing: forms that peers send, and cases after those of RFC 4475."""

import pytest

from thorndale.sip import headers as h
from thorndale.sip import message as m
from thorndale.sip.dialog import Dialog, hop_for_uri
from thorndale.sip.errors import SipError
from thorndale.sip.framing import KEEPALIVE, Framer
from thorndale.sip.transaction import Hop
from thorndale.sip.uri import dialled_number, escape_user, parse_uri, unescape

BASE = [
    "INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0",
    "Via: SIP/2.0/UDP 192.0.2.2;branch=z9hG4bK390",
    "From: <sip:a@example.com>;tag=f1",
    "To: <sip:b@example.com>",
    "Call-ID: abc@host",
    "CSeq: 5 INVITE",
    "Max-Forwards: 70",
    "Contact: <sip:a@192.0.2.2>",
]


def build_message(*changes, body=b"", drop=(), add=()):
    lines = [line for line in BASE if not any(line.lower().startswith(d) for d in drop)]
    for line in changes:
        name = line.partition(":")[0].lower() if ":" in line.partition(" ")[0] else ""
        if name:
            lines = [line if old.lower().startswith(name + ":") else old for old in lines]
        else:
            lines[0] = line
    return "\r\n".join([*lines, *add]).encode() + b"\r\n\r\n" + body


def response_status(data, stream=False):
    """0 for a valid message, else the response status of its error."""
    try:
        m.check(m.parse(data, stream))
    except SipError as error:
        return error.status
    return 0


def test_a_tortuous_invite():
    """After RFC 4475 section 3.1.1.1: folded lines, unusual case and spaces, compact and unknown names, escapes."""
    data = (
        b"INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0\r\nTO :\r\n sip:vivekg@chair-dnrc.example.com ;"
        b'   tag    = 1918181833n\r\nfrom   : "J Rosenberg \\\\\\""       <sip:jdrosen@example.com>\r\n  ;\r\n'
        b"  tag = 98asjd8\r\nMaX-fOrWaRdS: 0068\r\nCall-ID: wsinv.ndaksdj@192.0.2.1\r\nContent-Length   : 9\r\n"
        b"cseq: 0009\r\n  INVITE\r\nVia  : SIP  /   2.0\r\n /UDP\r\n    192.0.2.2;branch=390skdjuw\r\ns :\r\n"
        b"NewFangledHeader:   newfangled value\r\n continued newfangled value\r\nUnknownHeaderWithUnusualValue: ;;,,"
        b";;,;\r\nContent-Type: application/sdp\r\nRoute:\r\n <sip:services.example.com;lr;unknownwith=value;unknown-"
        b"no-value>\r\nv:  SIP  / 2.0  / TCP     spindle.example.com   ;\r\n  branch  =   z9hG4bK9ikj8  ,\r\n SIP  /"
        b'    2.0   / UDP  192.168.255.111   ; branch=\r\n z9hG4bK30239\r\nm:"Quoted string \\"\\"" <sip:jdrosen@e'
        b"xample.com> ; newparam =\r\n      newvalue ;\r\n  secondparam ; q = 0.33\r\n\r\nv=0\r\no=mXX"
    )
    message = m.parse(data)
    assert m.check(message) == 9
    assert message.to_tag == "1918181833n" and message.from_.display == 'J Rosenberg \\"'
    assert message.via.host == "192.0.2.2" and len(message.all("via")) == 3
    assert h.parse_via(message.all("via")[2]).params["branch"] == "z9hG4bK30239"
    assert message.contact.uri == "sip:jdrosen@example.com" and message.contact.params["q"] == "0.33"
    assert message.get("newfangledheader") == "newfangled value continued newfangled value"
    assert len(message.body) == 9
    reparsed = m.parse(message.encode())
    assert reparsed.all("via") == message.all("via") and reparsed.body == message.body


@pytest.mark.parametrize(
    "data, status",
    [
        # valid but unusual messages (RFC 4475 section 3.1.1)
        (build_message(), 0),
        (
            build_message(
                "!interesting-Method0123456789_*+`.%indeed'~ sip:1@example.com SIP/2.0",
                "CSeq: 5 !interesting-Method0123456789_*+`.%indeed'~",
            ),
            0,
        ),
        (build_message("INVITE sip:sips%3Auser%40example.com@example.net SIP/2.0"), 0),
        (build_message("INVITE sip:null-%00-null@example.com SIP/2.0"), 0),
        (build_message("RE%47IST%45R sip:registrar.example.com SIP/2.0", "CSeq: 5 RE%47IST%45R"), 0),
        (build_message(body=b"trailing octets after the datagram's message", add=["l: 0"]), 0),
        (build_message('From: "Nobody has the <angle> brackets, or ;tag=x" <sip:a@example.com>;tag=f1'), 0),
        (build_message("Via: SIP/2.0/UDP [2001:db8::9:1]:5060;branch=z9hG4bKas3-111"), 0),
        (build_message(add=["Subject: " + "long " * 500]), 0),
        (b"\r\n\r\n" + build_message(), 0),
        (b"SIP/2.0 200 = 2**3 * 5**2 \xd0\xbd\xd0\xbe\r\n" + b"\r\n".join(build_message().split(b"\r\n")[1:]), 0),
        (b"SIP/2.0 100 \r\n" + b"\r\n".join(build_message().split(b"\r\n")[1:]), 0),
        # invalid messages (RFC 4475 section 3.1.2)
        (build_message(add=["Content-Length: -999"]), 400),
        (build_message(add=["Content-Length: 9999"], body=b"short"), 400),
        (build_message(add=["Content-Length: 5", "l: 5"], body=b"twice"), 400),
        (build_message("CSeq: 36893488147419103232 INVITE"), 400),
        (build_message("CSeq: 5 NEWMETHOD"), 400),
        (build_message("CSeq: five INVITE"), 400),
        (build_message("INVITE  sip:user@example.com SIP/2.0"), 400),
        (build_message("INVITE sip:user@example.com  SIP/2.0"), 400),
        (build_message("INVITE <sip:user@example.com> SIP/2.0"), 400),
        (build_message("INVITE sip:user@example.com; lr SIP/2.0"), 400),
        (build_message("INVITE sip:user@example.com SIP/2.0 "), 400),
        (build_message("INVITE sip:user@example.com SIP/7.0"), 505),
        (build_message('To: "Mr. J. User <sip:j.user@example.com>'), 400),
        (build_message("To: <sip:b@example.com"), 400),
        (build_message("From: Bell, Alexander <sip:a.g.bell@example.com>;tag=43"), 400),
        (build_message("From: sip:a@example.com?Route=%3Csip:x%3E;tag=1"), 400),
        (build_message("Via: SIP/2.0/UDP 192.0.2.15;;,;,,"), 0),
        (build_message("Via: /2.0/UDP 192.0.2.15"), 400),
        (build_message("Via: SIP/2.0/UDP 192.0.2.15:99999"), 400),
        (build_message("Max-Forwards: 300"), 400),
        (build_message("Max-Forwards: many"), 400),
        (build_message('Contact: "Joe" <sip:joe@example.org>>'), 400),
        (build_message(add=["Expires 5"]), 400),
        (build_message(add=["Bad Name: x"]), 400),
        (build_message(add=["X: a\nb"]), 400),
        (build_message(add=["To: <sip:again@example.com>"]), 400),
        (build_message(add=["Call-ID: two"]), 400),
        (build_message(drop=["via"]), 400),
        (build_message(drop=["from"]), 400),
        (build_message(drop=["to"]), 400),
        (build_message(drop=["call-id"]), 400),
        (build_message(drop=["cseq"]), 400),
        (build_message(add=["X: y"] * 300), 513),
        (build_message(add=["X: " + "y" * 17_000]), 513),
        (b"", 400),
        (b"\r\n\r\n\r\n\r\n", 400),
        (b"junk\r\n\r\n", 400),
        (b"SIP/2.0 4xx Odd\r\n\r\n", 400),
        (b"SIP/2.0 999 Odd\r\n\r\n", 400),
        (b"INVITE sip:a SIP/2.0\r\n", 400),
    ],
)
def test_validity_and_response_status(data, status):
    assert response_status(data) == status


def test_an_error_keeps_enough_of_the_request_to_answer_it():
    for data in (build_message("INVITE sip:user@example.com SIP/7.0"), build_message(add=["Content-Length: 9999"])):
        with pytest.raises(SipError) as raised:
            m.parse(data)
        answer = m.response_to(raised.value.message, raised.value.status, "t").encode()
        assert b"z9hG4bK390" in answer and b"CSeq: 5 INVITE" in answer


def test_a_message_on_a_stream_needs_its_length_only_with_a_body():
    assert response_status(build_message(), stream=True) == 0
    assert response_status(build_message(body=b"x"), stream=True) == 400


@pytest.mark.parametrize(
    "text, group",
    [
        ("sip:+16305550100;tgrp=tg-1;trunk-context=example.com@isp.example.net;user=phone", "tg-1"),
        ("tel:+5555;tgrp=tg-1;trunk-context=+1-630", "tg-1"),
        ("sip:+16305550100;tgrp=tg-1@isp.example.net", ""),  # RFC 4904 section 5: ignored without a trunk-context
        ("sip:+16305550100@isp.example.net;tgrp=tg-1;trunk-context=x", ""),  # not in the user part
    ],
)
def test_trunk_groups(text, group):
    assert parse_uri(text).trunk_group == group


def test_uris():
    uri = parse_uri("sip:j%40s0n:pw@[2001:DB8::1]:5070;transport=tcp?Subject=x")
    assert (uri.user, uri.password, uri.host, uri.port, uri.params) == (
        "j@s0n",
        "pw",
        "2001:db8::1",
        5070,
        {"transport": "tcp"},
    )
    assert dialled_number(parse_uri("tel:+221-33.(12) 3".replace(" ", ""))) == "+22133123"
    assert unescape(escape_user("a;b@c d")) == "a;b@c d" and "@" not in escape_user("a@b")
    assert hop_for_uri("sip:[::1];transport=tcp") == Hop("tcp", "::1", 5060, 0)
    for bad in ("sip:", "sip:@x", "sip:a@b@c", "sip:a@h:0", "sip:a@h:70000", "sip:%4@h", "sip:a b@h", "sip:[::1", "x"):
        with pytest.raises(SipError):
            parse_uri(bad)
    for bad in ("http:x", "sips:a@1.2.3.4", "sip:a@example.com", "sip:1.2.3.4;transport=ws"):
        with pytest.raises(SipError):
            hop_for_uri(bad)


def test_framing():
    one, two = build_message(add=["Content-Length: 3"], body=b"abc"), build_message(add=["l:0"])
    assert Framer().feed(one + two) == [one, two]  # two messages in one segment
    framer, messages = Framer(), []
    for n in range(0, len(one), max(1, len(one) // 20)):  # one message in about twenty pieces
        messages += framer.feed(one[n : n + max(1, len(one) // 20)])
    assert messages == [one] and not framer.partial
    framer, messages = Framer(), []
    for byte in b"\r\n" + one + b"\r\n\r\n" + two + b"\r\n\r\n":
        messages += framer.feed(bytes([byte]))
    assert messages == [one, KEEPALIVE, two, KEEPALIVE]
    for bad in (
        b"x" * 17_000,
        build_message(add=["Content-Length: 99999999"]),
        build_message(add=["l: x"]),
        build_message(add=["l: 1", "l: 2"]),
        b"\rX",
    ):
        with pytest.raises(SipError):
            Framer().feed(bad)


def test_received_and_rport_set_the_response_address():
    message = m.parse(build_message("Via: SIP/2.0/UDP 10.1.1.1:4540;rport;branch=z9hG4bKkjshdyff"))
    m.add_received_params(message, "192.0.2.1", 9988)
    assert message.via.params["received"] == "192.0.2.1" and message.via.params["rport"] == "9988"
    assert m.reply_address(message) == ("192.0.2.1", 9988)
    message = m.parse(build_message())
    m.add_received_params(message, "192.0.2.9", 9988)
    assert m.reply_address(message) == ("192.0.2.9", 5060)


def test_dialog_routes_and_cseq_order():
    ok = m.response_to(
        m.parse(build_message()),
        200,
        "t1",
        extra=[("Record-Route", "<sip:10.0.0.1;lr>, <sip:10.0.0.2;lr>"), ("Contact", "<sip:b@10.0.0.9:5070>")],
    )
    dialog = Dialog.from_response(m.parse(build_message()), ok, Hop("udp", "10.0.0.2", 5060))
    bye = dialog.request("BYE", "SIP/2.0/UDP x;branch=z9hG4bK1")
    assert bye.uri == "sip:b@10.0.0.9:5070" and bye.all("route") == ["<sip:10.0.0.2;lr>", "<sip:10.0.0.1;lr>"]
    assert bye.cseq == (6, "BYE") and bye.to_tag == "t1" and dialog.hop == Hop("udp", "10.0.0.2", 5060, 0)
    strict = m.parse(build_message(add=["Record-Route: <sip:10.0.0.1>, <sip:10.0.0.2;lr>"]))
    called = Dialog.from_invite(strict, "t2", Hop("udp", "10.0.0.1", 5060))
    bye = called.request("BYE", "SIP/2.0/UDP x;branch=z9hG4bK2")
    assert bye.uri == "sip:10.0.0.1" and bye.all("route")[-1] == "<sip:a@192.0.2.2>"
    later = m.parse(build_message("BYE sip:x SIP/2.0", "CSeq: 9 BYE", "To: <sip:b@example.com>;tag=t2"))
    assert called.matches_request(later) and called.accept_cseq(later) and not called.accept_cseq(later)
    called.refresh_target(m.parse(build_message("Contact: <sip:new@192.0.2.7:5090>")))
    assert called.target == "sip:new@192.0.2.7:5090"
    called.refresh_target(m.parse(build_message("Contact: <sip:new@nowhere.example>")))
    assert called.target == "sip:new@192.0.2.7:5090"


def test_reason_and_retry_after():
    assert h.parse_reasons(['SIP;cause=200;text="x, y"', "Q.850 ;cause=34"]) == {
        "sip": h.Reason(200),
        "q.850": h.Reason(34),
    }
    assert h.parse_reasons(['"', "Q.850;cause=x"]) == {}
    assert h.parse_reasons(["Q.850;cause=42;location=bi"]) == {"q.850": h.Reason(42, "BI")}
    assert h.parse_retry_after("18000 (in a meeting);duration=3600") == 18000 and h.parse_retry_after("soon") == 0
