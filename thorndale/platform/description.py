"""Validation of call descriptions: a tag, then lines of text, as the platform's callers and central servers send
them."""

import re

_FORM = re.compile(rb"[0-9a-f]{16}\r\n(?:[a-z]=[\x20-\x7e]{1,200}\r\n){2,20}")


def is_description(body):
    """Whether the body is a complete and readable description."""
    return _FORM.fullmatch(body) is not None
