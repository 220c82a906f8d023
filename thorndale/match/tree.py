"""The tree of an expression, and the types of its values.

A node is (kind, args, value, line, column); `type`, `most` (longest text or list) and `bound` (steps) are set by the
checker. Kinds: literal, name, call, part, list, choice, or, and, not, compare, in, other, sum.
"""

from typing import NamedTuple


class Type(NamedTuple):
    """`kind` is text, number, yes/no, span, uri or list; `maybe`: the value may be absent."""

    kind: str
    maybe: bool = False

    def __str__(self):
        return self.kind + (" that may be absent" if self.maybe else "")


TEXT, NUMBER, YESNO, SPAN, URI, LIST = (Type(k) for k in ("text", "number", "yes/no", "span", "uri", "list"))


class Node:
    __slots__ = ("kind", "args", "value", "line", "column", "type", "most", "bound", "key")

    def __init__(self, kind, args=(), value=None, line=0, column=0):
        self.kind, self.args, self.value, self.line, self.column = kind, list(args), value, line, column
        self.type, self.most, self.bound, self.key = None, 0, 0, None

    def identity(self):
        """The same for equal expressions wherever they stand: how common parts are found."""
        if self.key is None:
            kind = str(self.type) if self.kind == "literal" else ""  # 5 and 5s are not the same
            self.key = (self.kind, self.value, type(self.value).__name__, kind, tuple(a.identity() for a in self.args))
        return self.key

    def __iter__(self):
        yield self
        for arg in self.args:
            yield from arg
