"""Selects the header fields that are forwarded from one leg of a call to the other.

Header fields and bodies are forwarded unchanged, except for the fields that belong to a single leg.
"""

from thorndale.sip.headers import split_list

# Header fields that belong to one leg and are generated separately for the other (RFC 3261, RFC 3262, RFC 7339).
LEG_FIELDS = frozenset(
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
# Extensions that work end to end through a back-to-back user agent. Others are removed from Supported, and a request
# that requires one is refused with 420 (RFC 3261 section 8.2.2.3).
END_TO_END = frozenset(("timer", "norefersub", "histinfo", "eventlist", "answermode"))


def forwarded_fields(message, load_header=""):
    """The header fields to forward, as pairs of name and value. `load_header` is the key of the load header."""
    forwarded = []
    for key, name, value in message.fields:
        if key in LEG_FIELDS or key == load_header:
            continue
        if key == "supported" or key == "require":
            value = ", ".join(v for v in split_list(value) if v.lower() in END_TO_END)
            if not value:
                continue
        forwarded.append((name, value))
    return forwarded


def refused_extensions(request):
    """Extensions that the request requires but that do not work end to end, as written."""
    return [v for v in request.all("require") + request.all("proxy-require") if v.lower() not in END_TO_END]


def next_max_forwards(request):
    """Max-Forwards for the next leg; below 0, the request has reached its hop limit (RFC 3261 section 16.3)."""
    text = request.get("max-forwards")
    return int(text) - 1 if text.isdigit() else 69


def header_safe_text(text):
    """A text computed by a rule, made safe for a header field: line ends and control characters become spaces."""
    return "".join(c if c >= " " else " " for c in text).strip()
