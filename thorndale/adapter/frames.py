"""Parses and formats lines of the simulator's protocol. Knows no field's meaning and no ids."""

from thorndale.fields import InputError


def parse_line(line):
    """The name of a line and its fields as text."""
    name, _, rest = line.partition("\t")
    fields = {}
    for item in rest.split("\t") if rest else ():
        key, separator, value = item.partition("=")
        if not separator or not key:
            raise InputError(f"field without '=': {item[:60]!r}")
        fields[key] = value
    return name, fields


def format_ms(us):
    """Whole microseconds as milliseconds with three decimals, without loss."""
    return f"{us // 1000}.{us % 1000:03d}"


def format_line(name, **fields):
    return "\t".join([name, *(f"{k}={v}" for k, v in fields.items())])
