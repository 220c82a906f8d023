"""Typed parsing of the named values of a text protocol; errors name the field. Knows no field's meaning and no ids."""

import base64
import binascii


class InputError(Exception):
    """Input cannot be parsed; the text names the field and the reason."""


def required(fields, key, parse):
    if key not in fields:
        raise InputError(f"needed field '{key}' is missing")
    return parse(key, fields[key])


def optional(fields, key, parse, default):
    return parse(key, fields[key]) if key in fields else default


def integer(key, text):
    try:
        value = int(text)
    except ValueError:
        raise InputError(f"'{key}' is no whole number: {text[:40]!r}") from None
    return value


def number(key, text):
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value != value or value in (float("inf"), float("-inf")):
        raise InputError(f"'{key}' is no number: {text[:40]!r}")
    return value


def ms_to_us(key, text):
    return round(number(key, text) * 1000)


def boolean(key, text):
    if text in ("1", "true"):
        return True
    if text in ("0", "false"):
        return False
    raise InputError(f"'{key}' is neither 1 nor 0: {text[:40]!r}")


def hexadecimal(key, text):
    try:
        return int(text, 16)
    except ValueError:
        raise InputError(f"'{key}' is no hex number: {text[:40]!r}") from None


def string(key, text):
    return text


def base64_bytes(key, text):
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raise InputError(f"'{key}' is no base64: {text[:40]!r}") from None


def number_pairs(key, text):
    """Parses name:value pairs separated by commas; the values are numbers."""
    values = {}
    for pair in text.split(",") if text else ():
        name, colon, value = pair.partition(":")
        if not colon:
            raise InputError(f"'{key}' holds a pair without ':': {pair[:40]!r}")
        values[name] = number(f"{key}.{name}", value)
    return values
