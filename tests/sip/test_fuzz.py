"""Generated and mutated messages: only SipError is raised, and a message that parses survives encoding and reparsing.

Hypothesis runs with `derandomize`, so that each run checks the same messages, more than 100,000.
"""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from sip.test_message import BASE, build_message

from thorndale.sip import message as m
from thorndale.sip.errors import SipError
from thorndale.sip.framing import Framer
from thorndale.sip.transaction import Hop
from thorndale.sip.uri import parse_uri

EXAMPLE_COUNT, MUTATIONS_PER_EXAMPLE = 600, 170  # 102,000 messages
FRAGMENTS = [
    b"\r\n",
    b"\r\n\r\n",
    b"\r\n ",
    b";",
    b",",
    b'"',
    b"<",
    b">",
    b":",
    b"=",
    b"%",
    b"%4",
    b"\\",
    b"\0",
    b"\xff",
    b" ",
    b"[",
    b"]",
    b"@",
    b"SIP/2.0",
    b"l: 9",
    b"v:",
    b"Content-Length: 5",
    b"\t",
    b"99999999999",
    b"-1",
    b"tag=",
]
HEADER_VALUES = st.sampled_from(
    [
        "sip:a@b",
        "<sip:a@b;lr>",
        '"x, y" <sip:q@[::1]:5>;tag=1',
        "SIP/2.0/TCP h:1;branch=z9hG4bKq",
        ";;,,",
        "1 INVITE",
        "0",
        "4294967296",
        "*",
        "a;b=c;d",
        '"',
        'text/plain; charset="u"',
        "\u00e9\u4e16",
    ]
)
HEADER = st.tuples(
    st.sampled_from(
        [
            "Via",
            "v",
            "From",
            "f",
            "To",
            "t",
            "CSeq",
            "Call-ID",
            "i",
            "Contact",
            "m",
            "Route",
            "Record-Route",
            "Reason",
            "Retry-After",
            "Supported",
            "k",
            "X-Load",
            "Max-Forwards",
        ]
    ),
    HEADER_VALUES,
)
totals = {"messages": 0, "parsed": 0}


def mutate(data, rng):
    data = bytearray(data)
    for _ in range(rng.randrange(1, 5)):
        at, kind = rng.randrange(len(data) + 1), rng.randrange(5)
        if kind == 0:
            data[at:at] = rng.choice(FRAGMENTS)
        elif kind == 1:
            del data[at : at + rng.randrange(1, 20)]
        elif kind == 2 and at < len(data):
            data[at] = rng.randrange(256)
        elif kind == 3:
            end = min(len(data), at + rng.randrange(60))
            data[at:at] = data[at:end]
        else:
            lines = bytes(data).split(b"\r\n")
            rng.shuffle(lines) if rng.random() < 0.2 else lines.insert(rng.randrange(len(lines) + 1), rng.choice(lines))
            data = bytearray(b"\r\n".join(lines))
    return bytes(data)


def check_parsers(data):
    """Runs every parser on these bytes; a message that parses must be the same after encoding and reparsing."""
    totals["messages"] += 1
    try:
        message = m.parse(data)
    except SipError:
        return
    totals["parsed"] += 1
    wire = message.encode()
    reparsed = m.parse(wire)
    assert reparsed.encode() == wire and reparsed.body == message.body
    assert (reparsed.method, reparsed.uri, reparsed.status) == (message.method, message.uri, message.status)
    for read in (
        lambda: m.check(message),
        lambda: message.contact,
        lambda: parse_uri(message.uri),
        lambda: message.all("route"),
        lambda: m.add_received_params(message, "127.0.0.1", 1),
        lambda: m.reply_address(message),
        lambda: m.response_to(message, 200, "t").encode(),
    ):
        try:
            read()
        except SipError:
            continue
    if len(wire) < 16_000:
        assert Framer().feed(wire) == [wire]


@settings(
    max_examples=EXAMPLE_COUNT, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(st.lists(HEADER, max_size=6), st.binary(max_size=30), st.integers(0, 1 << 32))
def fuzz(headers, body, seed):
    rng = random.Random(seed)
    base = build_message(add=[f"{n}: {v}" for n, v in headers], body=body)
    if rng.random() < 0.3:
        base = base.replace(BASE[0].encode(), b"SIP/2.0 183 Progress")
    check_parsers(base)
    for _ in range(MUTATIONS_PER_EXAMPLE):
        check_parsers(mutate(base, rng))


def test_a_hundred_thousand_messages():
    fuzz()
    assert totals["messages"] >= 100_000 and totals["parsed"] > 10_000


def test_the_border_survives_mutated_messages():
    """Mutated messages into a whole border proxy: no exception, and no state left after all timers have expired."""
    from call.rig import SERVER1, Rig

    rng = random.Random(7)
    rig = Rig("limits: {lag_ms: 0}")
    for n in range(3_000):
        data = rig.invite(branch=f"z9hG4bK{n % 50}", call=f"c{n % 60}").encode()
        rig.deliver(mutate(data, rng), Hop("udp", "127.0.0.1", 7000))
        for sent in rig.take_sent(SERVER1):
            if sent.method == "INVITE":
                answer = m.response_to(sent, rng.choice([100, 180, 200, 200, 486, 503]), "t").encode()
                rig.deliver(mutate(answer, rng) if rng.random() < 0.5 else answer, SERVER1)
        rig.run(20_000)
        rig.sent.clear()
    rig.run(20_000_000)
    rig.border.close_calls(rig.now)
    rig.border.flush(rig.now)
    rig.run(200_000_000)
    assert rig.leaked_resources() == {}
