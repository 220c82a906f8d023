"""Generated and mutated messages: nothing but the package's own error comes out, and what parses parses again the same.

Seeded by hypothesis's `derandomize`, so that each run sees the same 100,000 and more.
"""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from sip.test_message import BASE, made

from thorndale.sip import message as m
from thorndale.sip.errors import SipError
from thorndale.sip.framing import Framer
from thorndale.sip.transaction import Hop
from thorndale.sip.uri import parse_uri

EXAMPLES, MUTATIONS = 600, 170  # 102,000 messages
BITS = [
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
PARTS = st.sampled_from(
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
    PARTS,
)
seen = {"messages": 0, "parsed": 0}


def mutate(data, chance):
    data = bytearray(data)
    for _ in range(chance.randrange(1, 5)):
        at, kind = chance.randrange(len(data) + 1), chance.randrange(5)
        if kind == 0:
            data[at:at] = chance.choice(BITS)
        elif kind == 1:
            del data[at : at + chance.randrange(1, 20)]
        elif kind == 2 and at < len(data):
            data[at] = chance.randrange(256)
        elif kind == 3:
            end = min(len(data), at + chance.randrange(60))
            data[at:at] = data[at:end]
        else:
            lines = bytes(data).split(b"\r\n")
            chance.shuffle(lines) if chance.random() < 0.2 else lines.insert(
                chance.randrange(len(lines) + 1), chance.choice(lines)
            )
            data = bytearray(b"\r\n".join(lines))
    return bytes(data)


def try_all(data):
    """Every reader on these bytes; whatever parses must serialize to what parses the same."""
    seen["messages"] += 1
    try:
        message = m.parse(data)
    except SipError:
        return
    seen["parsed"] += 1
    wire = message.encode()
    again = m.parse(wire)
    assert again.encode() == wire and again.body == message.body
    assert (again.method, again.uri, again.status) == (message.method, message.uri, message.status)
    for read in (
        lambda: m.check(message),
        lambda: message.contact,
        lambda: parse_uri(message.uri),
        lambda: message.all("route"),
        lambda: m.received_from(message, "127.0.0.1", 1),
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
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(st.lists(HEADER, max_size=6), st.binary(max_size=30), st.integers(0, 1 << 32))
def fuzz(headers, body, seed):
    chance = random.Random(seed)
    base = made(add=[f"{n}: {v}" for n, v in headers], body=body)
    if chance.random() < 0.3:
        base = base.replace(BASE[0].encode(), b"SIP/2.0 183 Progress")
    try_all(base)
    for _ in range(MUTATIONS):
        try_all(mutate(base, chance))


def test_a_hundred_thousand_messages():
    fuzz()
    assert seen["messages"] >= 100_000 and seen["parsed"] > 10_000


def test_the_border_takes_anything():
    """Mutated calls into a whole border proxy: no exception, and nothing held once time has passed."""
    from call.rig import SERVER1, Rig

    chance = random.Random(7)
    rig = Rig("limits: {lag_ms: 0}")
    for n in range(3_000):
        data = rig.invite(branch=f"z9hG4bK{n % 50}", call=f"c{n % 60}").encode()
        rig.deliver(mutate(data, chance), Hop("udp", "127.0.0.1", 7000))
        for sent in rig.take_sent(SERVER1):
            if sent.method == "INVITE":
                answer = m.response_to(sent, chance.choice([100, 180, 200, 200, 486, 503]), "t").encode()
                rig.deliver(mutate(answer, chance) if chance.random() < 0.5 else answer, SERVER1)
        rig.run(20_000)
        rig.sent.clear()
    rig.run(20_000_000)
    rig.border.close_calls(rig.now)
    rig.border.flush(rig.now)
    rig.run(200_000_000)
    assert rig.leaked_resources() == {}
