"""Parses texts to trees by the grammar in grammar.lark. Every syntax error becomes a Diagnostic with its position."""

import contextlib
from functools import cache
from importlib import resources
from io import BytesIO

from lark import Lark, Token, Tree, UnexpectedInput
from lark import __version__ as lark_version
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from xxhash import xxh3_64_digest

from thorndale.match.errors import Diagnostic, MatchError
from thorndale.match.tree import Node

MAX_SOURCE_CHARS = 8 << 20  # enough for about 20,000 rules
MAX_DEPTH = 60  # nested brackets
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
TOKEN_LABELS = {
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


def parser_builder():
    """Returns (function that builds the parser, fingerprint of the grammar and the lark version). Building takes 80 ms,
    which is why the tables are stored in a file."""
    grammar = resources.files("thorndale.match").joinpath("grammar.lark").read_text(encoding="utf-8")
    fingerprint = xxh3_64_digest(f"{lark_version} {grammar}".encode())
    return lambda: Lark(
        grammar, parser="lalr", start=["start", "expr"], propagate_positions=True, maybe_placeholders=False
    ), fingerprint


@cache
def _parser():
    """The parser, loaded from grammar.tables (see `thorndale.match.tables`); built if that is missing or stale."""
    build, fingerprint = parser_builder()
    with contextlib.suppress(OSError):
        tables = resources.files("thorndale.match").joinpath("grammar.tables").read_bytes()
        if tables.startswith(fingerprint):
            return Lark.load(BytesIO(tables[len(fingerprint) :]))
    return build()


def unescape(text):
    """The content of a TEXT token, with escapes resolved."""
    content, out, position = text[1:-1], [], 0
    while position < len(content):
        c = content[position]
        if c == "\\" and position + 1 < len(content):
            position += 1
            c = {"n": "\n", "t": "\t"}.get(content[position], content[position])
        out.append(c)
        position += 1
    return "".join(out)


def read(source, start="start", name="rules"):
    """Returns the lark tree of a text. Raises MatchError."""
    if len(source) > MAX_SOURCE_CHARS:
        raise MatchError([Diagnostic(1, 1, f"longer than {MAX_SOURCE_CHARS} characters")], "", name)
    depth = deepest = 0
    for c in source:
        depth += (c in "([{") - (c in ")]}")
        deepest = max(deepest, depth)
    if deepest > MAX_DEPTH:
        raise MatchError([Diagnostic(1, 1, f"brackets are nested deeper than {MAX_DEPTH}")], "", name)
    try:
        return _parser().parse(source, start=start)
    except UnexpectedInput as error:
        raise MatchError([_unexpected(error, source)], source, name) from None


def _unexpected(error, source):
    if isinstance(error, UnexpectedEOF) or (isinstance(error, UnexpectedToken) and error.token.type == "$END"):
        lines = source.split("\n")
        return Diagnostic(len(lines), len(lines[-1]) + 1, "the text ends too early; is the file truncated?")
    if isinstance(error, UnexpectedCharacters):
        c = source[error.pos_in_stream] if error.pos_in_stream < len(source) else ""
        hint = "; a text needs its closing quote on the same line" if c == '"' else ""
        return Diagnostic(error.line, error.column, f"unexpected {c!r}{hint}")
    labels = sorted({TOKEN_LABELS.get(t, t.lower()) for t in (error.accepts or error.expected)})
    return Diagnostic(
        error.line, error.column, f"unexpected {str(error.token)[:30]!r}; expected {', '.join(labels[:8])}"
    )


def build_node(tree):
    """Converts a lark expression tree to a Node."""
    if isinstance(tree, Token):
        return Node("name", (), str(tree), tree.line, tree.column)
    kind, operands, line, column = tree.data, tree.children, tree.meta.line, tree.meta.column
    if kind == "text":
        return Node("literal", (), unescape(operands[0]), line, column)
    if kind == "number":
        return Node("literal", (), float(operands[0]), line, column)
    if kind == "span":
        digits = operands[0].rstrip("msh")
        result = Node("literal", (), float(digits) * SECONDS_PER_UNIT[operands[0][len(digits) :]], line, column)
        result.type = "span"
        return result
    if kind in ("yes", "no"):
        return Node("literal", (), kind == "yes", line, column)
    if kind == "name":
        return Node("name", (), str(operands[0]), line, column)
    if kind == "call":
        return Node("call", [build_node(k) for k in operands[1:]], str(operands[0]), line, column)
    if kind == "part_of":
        return Node("part", [build_node(operands[0])], str(operands[1]), line, column)
    if kind == "list":
        return Node("list", [build_node(k) for k in operands], None, line, column)
    if kind == "choice":
        return Node("choice", [build_node(k) for k in operands], None, line, column)
    if kind == "negation":
        return Node("not", [build_node(operands[0])], None, line, column)
    if kind in ("or_expr", "and_expr"):
        return Node(kind[:-5], [build_node(k) for k in operands], None, line, column)
    if kind == "compare":
        return Node("compare", [build_node(operands[0]), build_node(operands[2])], str(operands[1]), line, column)
    if kind == "inside":
        right = build_node(operands[1])
        if right.kind == "name":  # the name of a set
            return Node("in", [build_node(operands[0])], right.value, line, column)
        return Node("in", [build_node(operands[0]), right], None, line, column)
    if kind == "other":
        return Node("other", [build_node(k) for k in operands], None, line, column)
    result = build_node(operands[0])  # sum: atom (ADD atom)*
    for operator, right in zip(operands[1::2], operands[2::2], strict=True):
        result = Node("sum", [result, build_node(right)], str(operator), operator.line, operator.column)
    return result


def parse_expression(source, name="expression"):
    """Parses one expression to a Node. Raises MatchError."""
    return build_node(read(source, "expr", name))


def is_tree(item):
    return isinstance(item, Tree)
