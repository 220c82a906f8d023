"""Load reports in responses: overload control in Via (RFC 7339, RFC 7415) and the load header.

The load header, whose name the settings give, reads `free=12;lines=40;wait=35`: lines free and in all, and the
wait at the processor in ms. Each part may be left out.
"""

from thorndale.interface import Report
from thorndale.sip.errors import SipError
from thorndale.sip.headers import parse_params

MOST = 1e9  # figures above this are a fault of the peer


def _figure(params, name):
    text = params.get(name, "")
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= MOST else None


def report_of(response, header, instances):
    """The Report of a response, or None where it tells nothing. `header` is the load header's key.

    With oc-algo "rate", `oc` is what this one sender may send a second (RFC 7415 section 3.5); the module reckons
    with what a server takes from all, so it is multiplied by the number of proxies. With "loss" it tells a part to
    hold back, which the module judges by the waits instead.
    """
    rate = None
    try:
        via = response.via.params
        if "oc" in via and via.get("oc-algo", "").strip('"').lower() == "rate":
            rate = _figure(via, "oc")
            if rate is not None:
                rate *= instances
        text = response.get(header) if header else ""
        load = parse_params(text) if text else {}
    except SipError:
        return None
    if not load and rate is None:
        return None
    wait = _figure(load, "wait")
    return Report(_figure(load, "free"), _figure(load, "lines"), None if wait is None else round(wait * 1000), rate)
