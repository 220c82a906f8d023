"""The tree of an expression, and the types of its values.

A node has a kind, args, a value, a line and a column. The checker sets `type`, `max_size` (maximum characters of a
text or values of a list) and `bound` (maximum steps). Kinds: literal, name, call, part (of a URI), list, choice
(if-then-else), or, and, not, compare, in, other (the ?? operator), sum.
"""

from typing import NamedTuple


class Type(NamedTuple):
    """`kind` is text, number, yes/no, span, uri or list; an `optional` value may be absent."""

    kind: str
    optional: bool = False

    def __str__(self):
        return self.kind + (" that may be absent" if self.optional else "")


TEXT, NUMBER, YESNO, SPAN, URI, LIST = (Type(k) for k in ("text", "number", "yes/no", "span", "uri", "list"))


class Node:
    __slots__ = ("kind", "args", "value", "line", "column", "type", "max_size", "bound", "key")

    def __init__(self, kind, args=(), value=None, line=0, column=0):
        self.kind, self.args, self.value, self.line, self.column = kind, list(args), value, line, column
        self.type, self.max_size, self.bound, self.key = None, 0, 0, None

    def identity(self):
        """Equal for equal expressions at any position; used to find shared subexpressions."""
        if self.key is None:
            kind = str(self.type) if self.kind == "literal" else ""  # the number 5 and the span 5s differ
            self.key = (self.kind, self.value, type(self.value).__name__, kind, tuple(a.identity() for a in self.args))
        return self.key

    def __iter__(self):
        yield self
        for arg in self.args:
            yield from arg
