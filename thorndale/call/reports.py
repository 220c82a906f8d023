"""Load reports in responses: overload control parameters in Via (RFC 7339, RFC 7415) and the load header.

The load header, whose name is a setting, has the form `free=12;lines=40;wait=35`: free lines, total lines and the
queueing delay at the processor in ms. Each parameter is optional.
"""

from thorndale.interface import Report
from thorndale.sip.errors import SipError
from thorndale.sip.headers import parse_params

MAX_FIGURE = 1e9  # larger figures are an error of the peer and are ignored


def _parse_figure(params, name):
    text = params.get(name, "")
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= MAX_FIGURE else None


def parse_load_report(response, header, instances):
    """The Report of a response, or None if it has no load information. `header` is the key of the load header.

    With oc-algo "rate", `oc` is the rate that this one sender may send per second (RFC 7415 section 3.5). The module
    works with the rate that a server accepts from all proxies, so it is multiplied by their number. With "loss", `oc`
    is a fraction to hold back; it is ignored, because the module derives that from queueing delays.
    """
    rate = None
    try:
        via = response.via.params
        if "oc" in via and via.get("oc-algo", "").strip('"').lower() == "rate":
            rate = _parse_figure(via, "oc")
            if rate is not None:
                rate *= instances
        text = response.get(header) if header else ""
        load = parse_params(text) if text else {}
    except SipError:
        return None
    if not load and rate is None:
        return None
    wait = _parse_figure(load, "wait")
    return Report(
        _parse_figure(load, "free"), _parse_figure(load, "lines"), None if wait is None else round(wait * 1000), rate
    )
