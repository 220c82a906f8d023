"""The formatter: one way to write a rule set, whose tree is the same as before. Comments stay where they stand."""

from lark import Token

from thorndale.match.faults import MatchError
from thorndale.match.parse import read

WIDTH = 100  # columns after which lists are broken over lines
BINDS = {"choice": 0, "or_expr": 1, "and_expr": 2, "negation": 3, "compare": 4, "inside": 4, "other": 5, "sum": 6}


def formatted(source, name="rules"):
    """The text in its one form. Raises MatchError for a text that is no rule set."""
    tree = read(source, "start", name)
    notes, lines = comments(source), source.split("\n")
    out = []
    for item in tree.children:
        above = [text for line, text, alone in notes if alone and line < item.meta.line]
        first = min([n[0] for n in notes if n[2] and n[0] < item.meta.line], default=item.meta.line)
        notes = [n for n in notes if not (n[2] and n[0] < item.meta.line)]
        block = _item(item)
        inside = [n for n in notes if item.meta.line <= n[0] <= item.meta.end_line]
        notes = [n for n in notes if n not in inside]
        if item.data in ("rule_item", "default_item"):
            block = _with_inner(item, inside)
        elif inside:
            block = f"{block}  {' '.join(text for _, text, _ in inside)}"
        gap = first > 1 and not lines[first - 2].strip()
        spaced = out and (gap or item.data in ("rule_item", "default_item") or out[-1].endswith("}\n"))
        out.append(("\n" if spaced else "") + "".join(f"{text}\n" for text in above) + block + "\n")
    out += [f"{text}\n" for _, text, _ in notes]
    result = "".join(out)
    if shape(read(result, "start", name)) != shape(tree):  # guards against a fault here: the old text is kept
        raise MatchError([], source, name)
    return result


def comments(source):
    """(line, text, whether it stands alone on its line) of each comment, texts passed over."""
    found = []
    for number, line in enumerate(source.split("\n"), 1):
        quoted, at = False, 0
        while at < len(line):
            c = line[at]
            if quoted and c == "\\":
                at += 1
            elif c == '"':
                quoted = not quoted
            elif c == "#" and not quoted:
                found.append((number, line[at:].rstrip(), not line[:at].strip()))
                break
            at += 1
    return found


def shape(tree):
    """The tree without places: what must not change."""
    if isinstance(tree, Token):
        return str(tree)
    return (str(tree.data), tuple(shape(c) for c in tree.children))


def _with_inner(item, notes):
    """A rule, its parts a line each, with the comments that stand among them."""
    head = f"rule {item.children[0]} {{" if item.data == "rule_item" else "default {"
    parts = item.children[1:] if item.data == "rule_item" else item.children
    beside = [n for n in notes if not n[2] and n[0] == item.meta.line]
    left = [n for n in notes if n not in beside] if parts and parts[0].meta.line > item.meta.line else list(notes)
    if len(left) < len(notes):
        head += f"  {beside[0][1]}"
    lines = [head]
    for part in parts:
        upto = [n for n in left if n[0] <= part.meta.end_line]
        left = left[len(upto) :]
        beside = upto.pop() if upto and upto[-1][0] == part.meta.end_line and not upto[-1][2] else None
        lines += [f"  {text}" for _, text, _ in upto]
        lines.append(f"  {_part(part)}" + (f"  {beside[1]}" if beside else ""))
    lines += [f"  {text}" for _, text, _ in left]
    return "\n".join([*lines, "}"])


def _part(part):
    kind, kids = str(part.data)[:-5], part.children
    if kind in ("when", "key"):
        return f"{kind} {_expr(kids[0])}"
    if kind == "priority":
        return f"priority {kids[0]}"
    if kind == "share":
        weights = ", ".join(
            str(w.children[0].children[0]) + (f": {w.children[1]}" if len(w.children) > 1 else "") for w in kids[1:]
        )
        return f"share by {_expr(kids[0])} [{weights}]"
    if kind == "header":
        return f"header {kids[0]} = {_expr(kids[1])}"
    return f"{kind} {kids[0].children[0]}"


def _item(item):
    kids = item.children
    if item.data == "let_item":
        return f"let {kids[0]} = {_expr(kids[1])}"
    if item.data in ("set_file", "table_file"):
        return f"{str(item.data)[:-5]} {kids[0]} from {kids[1]}"
    if item.data == "set_item":
        return _list(f"set {kids[0]} = ", [_expr(k) for k in kids[1:]], "[", "]")
    if item.data == "table_item":
        return _list(f"table {kids[0]} = ", [f"{e.children[0]}: {e.children[1]}" for e in kids[1:]], "{", "}")
    return ""


def _list(head, parts, left, right):
    pad = " " if left == "{" and parts else ""
    line = f"{head}{left}{pad}{', '.join(parts)}{pad}{right}"
    if len(line) <= WIDTH:
        return line
    return f"{head}{left}\n" + "".join(f"  {part},\n" for part in parts) + right


def _expr(tree, outer=0):
    """An expression, in brackets where what stands around it binds closer."""
    if isinstance(tree, Token):
        return str(tree)
    kind, kids = str(tree.data), tree.children
    binds = BINDS.get(kind, 9)
    if kind == "choice":
        text = f"if {_expr(kids[0])} then {_expr(kids[1])} else {_expr(kids[2])}"
    elif kind in ("or_expr", "and_expr"):
        text = f" {kind[:-5]} ".join(_expr(k, binds + 1) for k in kids)
    elif kind == "negation":
        text = f"not {_expr(kids[0], binds)}"
    elif kind == "compare":
        text = f"{_expr(kids[0], binds + 1)} {kids[1]} {_expr(kids[2], binds + 1)}"
    elif kind == "inside":
        text = f"{_expr(kids[0], binds + 1)} in {_expr(kids[1], binds + 1)}"
    elif kind == "other":
        text = " ?? ".join(_expr(k, binds + 1) for k in kids)
    elif kind == "sum":
        text = " ".join(str(k) if isinstance(k, Token) else _expr(k, binds + 1) for k in kids)
    elif kind == "call":
        text = f"{kids[0]}({', '.join(_expr(k) for k in kids[1:])})"
    elif kind == "part_of":
        text = f"{_expr(kids[0], 9)}.{kids[1]}"
    elif kind == "list":
        text = f"[{', '.join(_expr(k) for k in kids)}]"
    else:
        text = str(kids[0])
    return f"({text})" if binds < outer else text
