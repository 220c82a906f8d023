"""Text to trees, by the grammar in grammar.lark. Whatever is wrong is a Fault with its place."""

import contextlib
from functools import cache
from importlib import resources
from io import BytesIO

from lark import Lark, Token, Tree, UnexpectedInput
from lark import __version__ as version
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from xxhash import xxh3_64_digest

from thorndale.match.faults import Fault, MatchError
from thorndale.match.tree import Node

MAX_SOURCE = 8 << 20  # characters of a rule set: some 20,000 rules
DEPTH_MOST = 60  # brackets, operators and the like inside each other
FACTORS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
SAID = {
    "RBRACE": "}",
    "LBRACE": "{",
    "RPAR": ")",
    "LPAR": "(",
    "RSQB": "]",
    "LSQB": "[",
    "EQUAL": "=",
    "COLON": ":",
    "COMMA": ",",
    "NAME": "a name",
    "TEXT": "a text",
    "NUMBER": "a number",
    "COMPARE": "a comparison",
    "ADD": "+",
    "SPAN": "a time span",
    "$END": "the end",
}


def built():
    """(function that builds the parser, seal): 80 ms. The seal names the grammar and the library that built it."""
    grammar = resources.files("thorndale.match").joinpath("grammar.lark").read_text(encoding="utf-8")
    seal = xxh3_64_digest(f"{version} {grammar}".encode())
    return lambda: Lark(
        grammar, parser="lalr", start=["start", "expr"], propagate_positions=True, maybe_placeholders=False
    ), seal


@cache
def _rules():
    """The parser, from its tables as kept beside the grammar (`python -m thorndale.match.tables`), else built."""
    build, seal = built()
    with contextlib.suppress(OSError):
        kept = resources.files("thorndale.match").joinpath("grammar.tables").read_bytes()
        if kept.startswith(seal):
            return Lark.load(BytesIO(kept[len(seal) :]))
    return build()


def unescaped(text):
    """The content of a TEXT token."""
    inner, out, at = text[1:-1], [], 0
    while at < len(inner):
        c = inner[at]
        if c == "\\" and at + 1 < len(inner):
            at += 1
            c = {"n": "\n", "t": "\t"}.get(inner[at], inner[at])
        out.append(c)
        at += 1
    return "".join(out)


def read(source, start="start", name="rules"):
    """The lark tree of a text. Raises MatchError."""
    if len(source) > MAX_SOURCE:
        raise MatchError([Fault(1, 1, f"longer than {MAX_SOURCE} characters")], "", name)
    depth = most = 0
    for c in source:
        depth += (c in "([{") - (c in ")]}")
        most = max(most, depth)
    if most > DEPTH_MOST:
        raise MatchError([Fault(1, 1, f"brackets stand inside each other deeper than {DEPTH_MOST}")], "", name)
    try:
        return _rules().parse(source, start=start)
    except UnexpectedInput as bad:
        raise MatchError([_unexpected(bad, source)], source, name) from None


def _unexpected(bad, source):
    if isinstance(bad, UnexpectedEOF) or (isinstance(bad, UnexpectedToken) and bad.token.type == "$END"):
        lines = source.split("\n")
        return Fault(len(lines), len(lines[-1]) + 1, "the text ends here, in the middle; is the file cut off?")
    if isinstance(bad, UnexpectedCharacters):
        c = source[bad.pos_in_stream] if bad.pos_in_stream < len(source) else ""
        hint = "; a text needs its closing quote on the same line" if c == '"' else ""
        return Fault(bad.line, bad.column, f"{c!r} has no place here{hint}")
    wanted = sorted({SAID.get(t, t.lower()) for t in (bad.accepts or bad.expected)})
    return Fault(bad.line, bad.column, f"{str(bad.token)[:30]!r} has no place here; expected {', '.join(wanted[:8])}")


def node(tree):
    """A Node of a lark expression."""
    if isinstance(tree, Token):
        return Node("name", (), str(tree), tree.line, tree.column)
    kind, kids, line, column = tree.data, tree.children, tree.meta.line, tree.meta.column
    if kind == "text":
        return Node("literal", (), unescaped(kids[0]), line, column)
    if kind == "number":
        return Node("literal", (), float(kids[0]), line, column)
    if kind == "span":
        digits = kids[0].rstrip("msh")
        made = Node("literal", (), float(digits) * FACTORS[kids[0][len(digits) :]], line, column)
        made.type = "span"
        return made
    if kind in ("yes", "no"):
        return Node("literal", (), kind == "yes", line, column)
    if kind == "name":
        return Node("name", (), str(kids[0]), line, column)
    if kind == "call":
        return Node("call", [node(k) for k in kids[1:]], str(kids[0]), line, column)
    if kind == "part_of":
        return Node("part", [node(kids[0])], str(kids[1]), line, column)
    if kind == "list":
        return Node("list", [node(k) for k in kids], None, line, column)
    if kind == "choice":
        return Node("choice", [node(k) for k in kids], None, line, column)
    if kind == "negation":
        return Node("not", [node(kids[0])], None, line, column)
    if kind in ("or_expr", "and_expr"):
        return Node(kind[:-5], [node(k) for k in kids], None, line, column)
    if kind == "compare":
        return Node("compare", [node(kids[0]), node(kids[2])], str(kids[1]), line, column)
    if kind == "inside":
        right = node(kids[1])
        if right.kind == "name":  # the name of a set
            return Node("in", [node(kids[0])], right.value, line, column)
        return Node("in", [node(kids[0]), right], None, line, column)
    if kind == "other":
        return Node("other", [node(k) for k in kids], None, line, column)
    made = node(kids[0])  # sum: atom (ADD atom)*
    for sign, right in zip(kids[1::2], kids[2::2], strict=True):
        made = Node("sum", [made, node(right)], str(sign), sign.line, sign.column)
    return made


def expression(source, name="expression"):
    """The Node of one expression. Raises MatchError."""
    return node(read(source, "expr", name))


def is_tree(item):
    return isinstance(item, Tree)
