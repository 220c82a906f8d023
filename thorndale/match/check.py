"""Static checker: types, names, value sizes, and a proven upper bound on the evaluation steps of each expression.

The bound of an expression is its own cost plus the bounds of its operands, computed for the longest input that the
SIP package accepts. It therefore holds for every message, and an expression over the limit is rejected at load time.
"""

from typing import NamedTuple

from thorndale.match.errors import Diagnostic
from thorndale.match.functions import FUNCTIONS, NAMES, URI_PARTS, text_steps
from thorndale.match.tree import LIST, NUMBER, SPAN, TEXT, YESNO, Node, Type
from thorndale.spelling import nearest

MAX_TEXT_VALUE_CHARS = 65_536  # concatenation may not build longer values
DEFAULT_MAX_STEPS = (
    50_000  # per expression; simple ones take a few hundred to a thousand, due to the message size limits
)
LITERAL_TYPES = {str: TEXT, float: NUMBER, bool: YESNO}


class Let(NamedTuple):
    name: str
    node: Node


class Table(NamedTuple):
    """`rows` maps prefixes to values; `lengths` lists the distinct prefix lengths, longest first."""

    rows: dict
    lengths: tuple


class Scope:
    """The names that an expression may refer to: sets, tables and lets defined earlier."""

    def __init__(self):
        self.sets, self.tables, self.lets = {}, {}, {}

    def expression_names(self):
        return [*NAMES, *self.lets]


class Checker:
    """Checks expressions and collects the diagnostics of all of them."""

    def __init__(self, scope, max_steps=DEFAULT_MAX_STEPS):
        self.scope, self.max_steps, self.diagnostics = scope, max_steps, []

    def add_error(self, node, text):
        self.diagnostics.append(Diagnostic(node.line, node.column, text))

    def check(self, node, expected=None, what="the expression"):
        """Sets `type`, `max_size` and `bound` in the whole tree. Returns True if the expression is valid."""
        before = len(self.diagnostics)
        actual = self._type(node)
        if actual is not None and expected is not None and actual != expected:
            self._type_mismatch(node, expected, actual, what)
        if len(self.diagnostics) == before and node.bound > self.max_steps:
            self.add_error(
                node,
                f"may take {node.bound} steps, the limit is {self.max_steps}; use fewer header texts or fewer tests",
            )
        return len(self.diagnostics) == before

    def _type_mismatch(self, node, expected, actual, what):
        hint = ""
        if actual.optional and actual.kind == expected.kind:
            hint = "; give a value for that case: ... ?? VALUE, or use present(...)"
        elif {actual.kind, expected.kind} == {"text", "number"}:
            hint = "; write a text in quotes, a number without, or use to-number(...) ?? 0"
        self.add_error(node, f"{what} should be {expected}, is {actual}{hint}")

    def _expect(self, node, expected, what):
        actual = self._type(node)
        if actual is not None and actual != expected:
            self._type_mismatch(node, expected, actual, what)
            return False
        return actual is not None

    def _type(self, node):
        """The node's type, or None if an error in it or below it has been reported."""
        if node.kind == "literal" and node.type == "span":
            node.type, node.bound = SPAN, 1
        if isinstance(node.type, Type):
            return node.type
        node.type = getattr(self, f"_{node.kind}")(node)
        if node.max_size > MAX_TEXT_VALUE_CHARS and node.type is not None and node.type.kind == "text":
            self.add_error(
                node, f"a text that grows to {node.max_size} characters; the limit is {MAX_TEXT_VALUE_CHARS}"
            )
            node.type = None
        return node.type

    def _sum_bound(self, node, own=1):
        node.bound = own + sum(a.bound for a in node.args)

    def _literal(self, node):
        node.bound = 1
        node.max_size = len(node.value) if isinstance(node.value, str) else 0
        return LITERAL_TYPES[type(node.value)]

    def _name(self, node):
        scope = self.scope
        if node.value in NAMES:
            type_, node.max_size, node.bound = NAMES[node.value][:3]
            return type_
        if node.value in scope.lets:
            let = scope.lets[node.value]
            if let is None:
                return None  # the let is invalid and reported at its own line
            node.max_size, node.bound = let.max_size, let.bound + 1
            return let.type
        if node.value in scope.sets or node.value in scope.tables:
            kind = "set" if node.value in scope.sets else "table"
            use = "'in'" if kind == "set" else "longest(TEXT, TABLE)"
            self.add_error(node, f"{node.value!r} is a {kind}; it is used with {use}")
            return None
        self._unknown(node, node.value, scope.expression_names(), "name")
        return None

    def _unknown(self, node, name, known, what):
        suggestion = nearest(name, known)
        self.add_error(
            node,
            f"unknown {what} {name!r}"
            + (f"; {suggestion!r} is meant?" if suggestion else f"; known are {', '.join(sorted(known)[:24])}"),
        )

    def _part(self, node):
        actual = self._type(node.args[0])
        if actual is None:
            return None
        if actual.kind != "uri" or actual.optional:
            if actual.kind == "uri":
                self.add_error(
                    node, f".{node.value} of a URI that may be absent; give a fallback: (... ?? uri).{node.value}"
                )
            else:
                self.add_error(node, f".{node.value} of a value that is {actual}; only a URI has parts")
            return None
        if node.value not in URI_PARTS:
            self._unknown(node, node.value, list(URI_PARTS), "part")
            return None
        self._sum_bound(node)
        node.max_size = node.args[0].max_size
        return URI_PARTS[node.value][0]

    def _call(self, node):
        function = FUNCTIONS.get(node.value)
        if function is None:
            self._unknown(node, node.value, list(FUNCTIONS), "function")
            return None
        if len(node.args) != len(function.args):
            self.add_error(
                node, f"{node.value} takes {len(function.args)} values, has {len(node.args)}; as in {function.example}"
            )
            return None
        valid, costs = True, []
        for n, (arg, expected) in enumerate(zip(node.args, function.args, strict=True)):
            if expected.kind == "table":
                if arg.kind != "name" or arg.value not in self.scope.tables:
                    self.add_error(arg, "the second value must be the name of a table")
                    return None
                arg.type, arg.bound = expected, 0
                continue
            if expected.kind == "any":
                actual = self._type(arg)
                if actual is not None and not actual.optional:
                    self.add_error(
                        arg, f"is always present, as it is {actual}; present(...) is for values that may be absent"
                    )
                    actual = None
                valid = valid and actual is not None
                continue
            valid = self._expect(arg, expected, f"value {n + 1} of {node.value}") and valid
            costs.append(arg.max_size)
        for n in function.literal_args:
            if valid and node.args[n].kind != "literal":
                self.add_error(
                    node.args[n], f"value {n + 1} of {node.value} must be a literal, as in {function.example}"
                )
                valid = False
        if valid and function.literal_args:
            values = [a.value if a.kind == "literal" else None for a in node.args]
            problem = function.check_literals(values)
            if problem:
                self.add_error(node.args[function.literal_args[0]], problem)
                valid = False
            if valid and function.literal_kind == "form":
                valid = self._form(node.args[1])
        if not valid:
            return None
        if node.value == "longest":
            lengths = self.scope.tables[node.args[1].value].lengths
            self._sum_bound(node, 1 + sum(1 + text_steps(n) for n in lengths))
        else:
            self._sum_bound(node, function.cost(costs))
        node.max_size = function.max_size(costs)
        return function.result_type

    def _form(self, node):
        from thorndale.match.errors import MatchError
        from thorndale.match.patterns import Pattern

        try:
            Pattern(node.value)
        except MatchError as error:
            self.add_error(
                node, f"invalid pattern: {error.diagnostics[0].text} (at its character {error.diagnostics[0].column})"
            )
            return False
        return True

    def _list(self, node):
        valid = all([self._expect(arg, TEXT, "a list's value") for arg in node.args])
        self._sum_bound(node)
        node.max_size = len(node.args)
        return LIST if valid else None

    def _choice(self, node):
        valid = self._expect(node.args[0], YESNO, "the condition")
        left, right = self._type(node.args[1]), self._type(node.args[2])
        if left is None or right is None or not valid:
            return None
        if left.kind != right.kind:
            self.add_error(node.args[2], f"'then' gives {left}, 'else' gives {right}; both must have the same type")
            return None
        node.bound = 1 + node.args[0].bound + max(node.args[1].bound, node.args[2].bound)
        node.max_size = max(node.args[1].max_size, node.args[2].max_size)
        return Type(left.kind, left.optional or right.optional)

    def _logic(self, node):
        valid = all([self._expect(arg, YESNO, f"a side of '{node.kind}'") for arg in node.args])
        self._sum_bound(node)
        return YESNO if valid else None

    _or = _and = _not = _logic

    def _compare(self, node):
        left, right = (self._type(a) for a in node.args)
        if left is None or right is None:
            return None
        for side, actual in zip(node.args, (left, right), strict=True):
            if actual.optional:
                self.add_error(
                    side, f"compared, but {actual}; give a value for that case: ... ?? VALUE, or use present(...)"
                )
                return None
        if left.kind != right.kind:
            self._type_mismatch(node.args[1], left, right, f"the right side of '{node.value}'")
            return None
        if left.kind in ("uri", "list"):
            self.add_error(node, f"a {left.kind} cannot be compared; compare its parts")
            return None
        if node.value not in ("==", "!=") and left.kind not in ("number", "span"):
            self.add_error(node, f"a {left.kind} has no order; '{node.value}' compares numbers or time spans")
            return None
        self._sum_bound(node, 1 + text_steps(min(a.max_size for a in node.args)))
        return YESNO

    def _in(self, node):
        if node.value is None:
            valid = self._expect(node.args[0], TEXT, "the left side of 'in'")
            actual = self._type(node.args[1])
            if actual is not None and actual != LIST:
                self.add_error(node.args[1], f"the right side of 'in' should be a list or a set, is {actual}")
                actual = None
            if not valid or actual is None:
                return None
            all_literal = node.args[1].kind == "list" and all(a.kind == "literal" for a in node.args[1].args)
            comparisons = 1 if all_literal else max(1, node.args[1].max_size)
            self._sum_bound(node, 1 + comparisons * (1 + text_steps(node.args[0].max_size)))
            return YESNO
        values = self.scope.sets.get(node.value)
        if values is None:
            self._unknown(node, node.value, list(self.scope.sets), "set")
            return None
        expected = LITERAL_TYPES[type(next(iter(values)))] if values else TEXT
        if not self._expect(node.args[0], expected, f"the left side of 'in {node.value}'"):
            return None
        self._sum_bound(node, 1 + text_steps(node.args[0].max_size))
        return YESNO

    def _other(self, node):
        types = [self._type(a) for a in node.args]
        if None in types:
            return None
        for arg, actual in zip(node.args[:-1], types[:-1], strict=True):
            if not actual.optional:
                self.add_error(arg, f"is always present, as it is {actual}; the value after '??' would never be used")
                return None
        if len({t.kind for t in types}) > 1:
            self.add_error(
                node.args[-1], f"'??' joins {' and '.join(t.kind for t in types)}; all must have the same type"
            )
            return None
        self._sum_bound(node)
        node.max_size = max(a.max_size for a in node.args)
        return types[-1]

    def _sum(self, node):
        left, right = (self._type(a) for a in node.args)
        if left is None or right is None:
            return None
        if left != right or left.optional or left.kind not in ("number", "span", "text"):
            self.add_error(
                node, f"'{node.value}' joins two numbers, two time spans or two texts, not {left} and {right}"
            )
            return None
        if left == TEXT and node.value == "-":
            self.add_error(node, "'-' takes numbers or time spans; a text cannot be subtracted")
            return None
        node.max_size = sum(a.max_size for a in node.args)
        self._sum_bound(node, 1 + text_steps(node.max_size))
        return left
