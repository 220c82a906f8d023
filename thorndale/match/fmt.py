"""Formatter for rule sets: canonical layout with an unchanged syntax tree. Comments keep their positions."""

from lark import Token

from thorndale.match.errors import MatchError
from thorndale.match.parse import read

MAX_COLUMNS = 100  # longer lists are split over lines
PRECEDENCE = {"choice": 0, "or_expr": 1, "and_expr": 2, "negation": 3, "compare": 4, "inside": 4, "other": 5, "sum": 6}


def format_source(source, name="rules"):
    """Returns the text in canonical layout. Raises MatchError if it is not a valid rule set."""
    tree = read(source, "start", name)
    pending, lines = comments(source), source.split("\n")
    out = []
    for item in tree.children:
        above = [text for line, text, own_line in pending if own_line and line < item.meta.line]
        first = min([n[0] for n in pending if n[2] and n[0] < item.meta.line], default=item.meta.line)
        pending = [n for n in pending if not (n[2] and n[0] < item.meta.line)]
        block = _format_item(item)
        inside = [n for n in pending if item.meta.line <= n[0] <= item.meta.end_line]
        pending = [n for n in pending if n not in inside]
        if item.data in ("rule_item", "default_item"):
            block = _format_block(item, inside)
        elif inside:
            block = f"{block}  {' '.join(text for _, text, _ in inside)}"
        gap = first > 1 and not lines[first - 2].strip()
        spaced = out and (gap or item.data in ("rule_item", "default_item") or out[-1].endswith("}\n"))
        out.append(("\n" if spaced else "") + "".join(f"{text}\n" for text in above) + block + "\n")
    out += [f"{text}\n" for _, text, _ in pending]
    result = "".join(out)
    if structure(read(result, "start", name)) != structure(tree):  # formatter error: the file must stay unchanged
        raise MatchError([], source, name)
    return result


def comments(source):
    """(line, text, whether it has its own line) of each comment; a '#' inside a string starts none."""
    found = []
    for number, line in enumerate(source.split("\n"), 1):
        quoted, position = False, 0
        while position < len(line):
            char = line[position]
            if quoted and char == "\\":
                position += 1
            elif char == '"':
                quoted = not quoted
            elif char == "#" and not quoted:
                found.append((number, line[position:].rstrip(), not line[:position].strip()))
                break
            position += 1
    return found


def structure(tree):
    """The tree without positions, which formatting must preserve."""
    if isinstance(tree, Token):
        return str(tree)
    return (str(tree.data), tuple(structure(char) for char in tree.children))


def _format_block(item, pending):
    """A rule with one clause per line and the comments inside it."""
    head = f"rule {item.children[0]} {{" if item.data == "rule_item" else "default {"
    parts = item.children[1:] if item.data == "rule_item" else item.children
    trailing = [n for n in pending if not n[2] and n[0] == item.meta.line]
    remaining = (
        [n for n in pending if n not in trailing] if parts and parts[0].meta.line > item.meta.line else list(pending)
    )
    if len(remaining) < len(pending):
        head += f"  {trailing[0][1]}"
    lines = [head]
    for part in parts:
        preceding = [n for n in remaining if n[0] <= part.meta.end_line]
        remaining = remaining[len(preceding) :]
        trailing = (
            preceding.pop() if preceding and preceding[-1][0] == part.meta.end_line and not preceding[-1][2] else None
        )
        lines += [f"  {text}" for _, text, _ in preceding]
        lines.append(f"  {_format_part(part)}" + (f"  {trailing[1]}" if trailing else ""))
    lines += [f"  {text}" for _, text, _ in remaining]
    return "\n".join([*lines, "}"])


def _format_part(part):
    kind, nodes = str(part.data)[:-5], part.children
    if kind in ("when", "key"):
        return f"{kind} {_format_expression(nodes[0])}"
    if kind == "priority":
        return f"priority {nodes[0]}"
    if kind == "share":
        weights = ", ".join(
            str(w.children[0].children[0]) + (f": {w.children[1]}" if len(w.children) > 1 else "") for w in nodes[1:]
        )
        return f"share by {_format_expression(nodes[0])} [{weights}]"
    if kind == "header":
        return f"header {nodes[0]} = {_format_expression(nodes[1])}"
    return f"{kind} {nodes[0].children[0]}"


def _format_item(item):
    nodes = item.children
    if item.data == "let_item":
        return f"let {nodes[0]} = {_format_expression(nodes[1])}"
    if item.data in ("set_file", "table_file"):
        return f"{str(item.data)[:-5]} {nodes[0]} from {nodes[1]}"
    if item.data == "set_item":
        return _format_list(f"set {nodes[0]} = ", [_format_expression(k) for k in nodes[1:]], "[", "]")
    if item.data == "table_item":
        return _format_list(f"table {nodes[0]} = ", [f"{e.children[0]}: {e.children[1]}" for e in nodes[1:]], "{", "}")
    return ""


def _format_list(head, parts, left, right):
    pad = " " if left == "{" and parts else ""
    line = f"{head}{left}{pad}{', '.join(parts)}{pad}{right}"
    if len(line) <= MAX_COLUMNS:
        return line
    return f"{head}{left}\n" + "".join(f"  {part},\n" for part in parts) + right


def _format_expression(tree, outer=0):
    """An expression, in parentheses if the surrounding operator binds more tightly."""
    if isinstance(tree, Token):
        return str(tree)
    kind, nodes = str(tree.data), tree.children
    precedence = PRECEDENCE.get(kind, 9)
    if kind == "choice":
        text = (
            f"if {_format_expression(nodes[0])} then {_format_expression(nodes[1])} else {_format_expression(nodes[2])}"
        )
    elif kind in ("or_expr", "and_expr"):
        text = f" {kind[:-5]} ".join(_format_expression(k, precedence + 1) for k in nodes)
    elif kind == "negation":
        text = f"not {_format_expression(nodes[0], precedence)}"
    elif kind == "compare":
        text = (
            f"{_format_expression(nodes[0], precedence + 1)} {nodes[1]} {_format_expression(nodes[2], precedence + 1)}"
        )
    elif kind == "inside":
        text = f"{_format_expression(nodes[0], precedence + 1)} in {_format_expression(nodes[1], precedence + 1)}"
    elif kind == "other":
        text = " ?? ".join(_format_expression(k, precedence + 1) for k in nodes)
    elif kind == "sum":
        text = " ".join(str(k) if isinstance(k, Token) else _format_expression(k, precedence + 1) for k in nodes)
    elif kind == "call":
        text = f"{nodes[0]}({', '.join(_format_expression(k) for k in nodes[1:])})"
    elif kind == "part_of":
        text = f"{_format_expression(nodes[0], 9)}.{nodes[1]}"
    elif kind == "list":
        text = f"[{', '.join(_format_expression(k) for k in nodes)}]"
    else:
        text = str(nodes[0])
    return f"({text})" if precedence < outer else text
