"""What goes from one leg to the other: header fields and bodies as they came, but for those of the leg itself."""

from thorndale.sip.headers import split_list

# Header fields that belong to one leg and are made anew for the other (RFC 3261, RFC 3262, RFC 7339).
OWN = frozenset(
    (
        "via",
        "from",
        "to",
        "call-id",
        "cseq",
        "contact",
        "record-route",
        "route",
        "max-forwards",
        "content-length",
        "proxy-authorization",
        "proxy-authenticate",
        "proxy-require",
        "path",
        "timestamp",
        "expires",
        "rack",
        "rseq",
        "retry-after",
        "reason",
    )
)
# Extensions that work from end to end through a back-to-back user agent; others are taken out of Supported, and
# a Require of them is refused with 420 (RFC 3261 section 8.2.2.3).
END_TO_END = frozenset(("timer", "norefersub", "histinfo", "eventlist", "answermode"))


def passed(message, load_header=""):
    """The fields that go on, as pairs of name and value."""
    found = []
    for key, name, value in message.fields:
        if key in OWN or key == load_header:
            continue
        if key == "supported" or key == "require":
            value = ", ".join(v for v in split_list(value) if v.lower() in END_TO_END)
            if not value:
                continue
        found.append((name, value))
    return found


def refused_extensions(request):
    """Extensions that the request needs and that cannot pass, as written."""
    return [v for v in request.all("require") + request.all("proxy-require") if v.lower() not in END_TO_END]


def hops_left(request):
    """Max-Forwards of the next leg; below 0: the request has gone far enough (RFC 3261 section 16.3)."""
    text = request.get("max-forwards")
    return int(text) - 1 if text.isdigit() else 69


def plain_value(text):
    """A text that a rule worked out, as it may stand in a header: no line ends or other signs below space."""
    return "".join(c if c >= " " else " " for c in text).strip()
