"""The checker: types, names, sizes, and the proven bound on the steps of each expression.

A bound is the sum of its parts' bounds, with the longest input that the SIP package lets in. So it holds for every
message, and an expression over the limit is refused when it is loaded.
"""

from typing import NamedTuple

from thorndale.match.faults import Fault
from thorndale.match.functions import FUNCTIONS, NAMES, PARTS, units
from thorndale.match.tree import LIST, NUMBER, SPAN, TEXT, YESNO, Node, Type
from thorndale.spelling import nearest

TEXT_MOST = 65_536  # characters that a value may grow to
STEPS_MOST = 50_000  # steps of one expression; a message's own bounds make a plain one some hundred to thousand
LITERAL = {str: TEXT, float: NUMBER, bool: YESNO}


class Let(NamedTuple):
    name: str
    node: Node


class Table(NamedTuple):
    """`rows`: prefix to value; `lengths`: those of the prefixes, longest first."""

    rows: dict
    lengths: tuple


class Scope:
    """The names that an expression may use: sets, tables and earlier lets."""

    def __init__(self):
        self.sets, self.tables, self.lets = {}, {}, {}

    def known(self):
        return [*NAMES, *self.lets]


class Checker:
    """Checks one expression after another and gathers their faults."""

    def __init__(self, scope, steps_most=STEPS_MOST):
        self.scope, self.steps_most, self.faults = scope, steps_most, []

    def fault(self, node, text):
        self.faults.append(Fault(node.line, node.column, text))

    def check(self, node, wanted=None, what="the expression"):
        """Sets type, most and bound in the whole tree. True where nothing is wrong with it."""
        before = len(self.faults)
        given = self._type(node)
        if given is not None and wanted is not None and given != wanted:
            self._unlike(node, wanted, given, what)
        if len(self.faults) == before and node.bound > self.steps_most:
            self.fault(
                node,
                f"may take {node.bound} steps, {self.steps_most} are allowed; use fewer "
                "texts from headers or fewer tests",
            )
        return len(self.faults) == before

    def _unlike(self, node, wanted, given, what):
        hint = ""
        if given.maybe and given.kind == wanted.kind:
            hint = "; say what holds then: ... ?? VALUE, or present(...)"
        elif {given.kind, wanted.kind} == {"text", "number"}:
            hint = "; write a text in quotes, a number without, or use to-number(...) ?? 0"
        self.fault(node, f"{what} should be {wanted}, is {given}{hint}")

    def _expect(self, node, wanted, what):
        given = self._type(node)
        if given is not None and given != wanted:
            self._unlike(node, wanted, given, what)
            return False
        return given is not None

    def _type(self, node):
        """The node's type, or None where a fault below was said already."""
        if node.kind == "literal" and node.type == "span":
            node.type, node.bound = SPAN, 1
        if isinstance(node.type, Type):
            return node.type
        node.type = getattr(self, f"_{node.kind}")(node)
        if node.most > TEXT_MOST and node.type is not None and node.type.kind == "text":
            self.fault(node, f"a text that grows to {node.most} characters; {TEXT_MOST} are allowed")
            node.type = None
        return node.type

    def _sum_bound(self, node, own=1):
        node.bound = own + sum(a.bound for a in node.args)

    def _literal(self, node):
        node.bound = 1
        node.most = len(node.value) if isinstance(node.value, str) else 0
        return LITERAL[type(node.value)]

    def _name(self, node):
        scope = self.scope
        if node.value in NAMES:
            type_, node.most, node.bound = NAMES[node.value][:3]
            return type_
        if node.value in scope.lets:
            let = scope.lets[node.value]
            if let is None:
                return None  # it has a fault of its own
            node.most, node.bound = let.most, let.bound + 1
            return let.type
        if node.value in scope.sets or node.value in scope.tables:
            kind = "set" if node.value in scope.sets else "table"
            use = "'in'" if kind == "set" else "longest(TEXT, TABLE)"
            self.fault(node, f"{node.value!r} is a {kind}; it is used with {use}")
            return None
        self._unknown(node, node.value, scope.known(), "name")
        return None

    def _unknown(self, node, name, known, what):
        near = nearest(name, known)
        self.fault(
            node,
            f"unknown {what} {name!r}"
            + (f"; {near!r} is meant?" if near else f"; known are {', '.join(sorted(known)[:24])}"),
        )

    def _part(self, node):
        given = self._type(node.args[0])
        if given is None:
            return None
        if given.kind != "uri" or given.maybe:
            if given.kind == "uri":
                self.fault(node, f".{node.value} of a URI that may be absent; give another: (... ?? uri).{node.value}")
            else:
                self.fault(node, f".{node.value} of a value that is {given}; only a URI has parts")
            return None
        if node.value not in PARTS:
            self._unknown(node, node.value, list(PARTS), "part")
            return None
        self._sum_bound(node)
        node.most = node.args[0].most
        return PARTS[node.value][0]

    def _call(self, node):
        function = FUNCTIONS.get(node.value)
        if function is None:
            self._unknown(node, node.value, list(FUNCTIONS), "function")
            return None
        if len(node.args) != len(function.args):
            self.fault(
                node, f"{node.value} takes {len(function.args)} values, has {len(node.args)}; as in {function.example}"
            )
            return None
        sound, costs = True, []
        for n, (arg, wanted) in enumerate(zip(node.args, function.args, strict=True)):
            if wanted.kind == "table":
                if arg.kind != "name" or arg.value not in self.scope.tables:
                    self.fault(arg, "the second value is the name of a table")
                    return None
                arg.type, arg.bound = wanted, 0
                continue
            if wanted.kind == "any":
                given = self._type(arg)
                if given is not None and not given.maybe:
                    self.fault(arg, f"is always there, being {given}; present(...) is for what may be absent")
                    given = None
                sound = sound and given is not None
                continue
            sound = self._expect(arg, wanted, f"value {n + 1} of {node.value}") and sound
            costs.append(arg.most)
        for n in function.literals:
            if sound and node.args[n].kind != "literal":
                self.fault(node.args[n], f"value {n + 1} of {node.value} must be written out, as in {function.example}")
                sound = False
        if sound and function.literals:
            values = [a.value if a.kind == "literal" else None for a in node.args]
            wrong = function.check(values)
            if wrong:
                self.fault(node.args[function.literals[0]], wrong)
                sound = False
            if sound and function.make == "form":
                sound = self._form(node.args[1])
        if not sound:
            return None
        if node.value == "longest":
            lengths = self.scope.tables[node.args[1].value].lengths
            self._sum_bound(node, 1 + sum(1 + units(n) for n in lengths))
        else:
            self._sum_bound(node, function.cost(costs))
        node.most = function.most(costs)
        return function.gives

    def _form(self, node):
        from thorndale.match.faults import MatchError
        from thorndale.match.forms import Form

        try:
            Form(node.value)
        except MatchError as bad:
            self.fault(node, f"the form: {bad.faults[0].text} (at its sign {bad.faults[0].column})")
            return False
        return True

    def _list(self, node):
        sound = all([self._expect(arg, TEXT, "a list's value") for arg in node.args])
        self._sum_bound(node)
        node.most = len(node.args)
        return LIST if sound else None

    def _choice(self, node):
        sound = self._expect(node.args[0], YESNO, "the condition")
        one, two = self._type(node.args[1]), self._type(node.args[2])
        if one is None or two is None or not sound:
            return None
        if one.kind != two.kind:
            self.fault(node.args[2], f"'then' gives {one}, 'else' gives {two}; both must be alike")
            return None
        node.bound = 1 + node.args[0].bound + max(node.args[1].bound, node.args[2].bound)
        node.most = max(node.args[1].most, node.args[2].most)
        return Type(one.kind, one.maybe or two.maybe)

    def _logic(self, node):
        sound = all([self._expect(arg, YESNO, f"a side of '{node.kind}'") for arg in node.args])
        self._sum_bound(node)
        return YESNO if sound else None

    _or = _and = _not = _logic

    def _compare(self, node):
        one, two = (self._type(a) for a in node.args)
        if one is None or two is None:
            return None
        for side, given in zip(node.args, (one, two), strict=True):
            if given.maybe:
                self.fault(side, f"compared, but {given}; say what holds then: ... ?? VALUE, or present(...)")
                return None
        if one.kind != two.kind:
            self._unlike(node.args[1], one, two, f"the right side of '{node.value}'")
            return None
        if one.kind in ("uri", "list"):
            self.fault(node, f"a {one.kind} cannot be compared; compare its parts")
            return None
        if node.value not in ("==", "!=") and one.kind not in ("number", "span"):
            self.fault(node, f"a {one.kind} has no order; '{node.value}' compares numbers or time spans")
            return None
        self._sum_bound(node, 1 + units(min(a.most for a in node.args)))
        return YESNO

    def _in(self, node):
        if node.value is None:
            sound = self._expect(node.args[0], TEXT, "the left side of 'in'")
            given = self._type(node.args[1])
            if given is not None and given != LIST:
                self.fault(node.args[1], f"the right side of 'in' should be a list or a set, is {given}")
                given = None
            if not sound or given is None:
                return None
            written = node.args[1].kind == "list" and all(a.kind == "literal" for a in node.args[1].args)
            looks = 1 if written else max(1, node.args[1].most)
            self._sum_bound(node, 1 + looks * (1 + units(node.args[0].most)))
            return YESNO
        values = self.scope.sets.get(node.value)
        if values is None:
            self._unknown(node, node.value, list(self.scope.sets), "set")
            return None
        wanted = LITERAL[type(next(iter(values)))] if values else TEXT
        if not self._expect(node.args[0], wanted, f"the left side of 'in {node.value}'"):
            return None
        self._sum_bound(node, 1 + units(node.args[0].most))
        return YESNO

    def _other(self, node):
        types = [self._type(a) for a in node.args]
        if None in types:
            return None
        for arg, given in zip(node.args[:-1], types[:-1], strict=True):
            if not given.maybe:
                self.fault(arg, f"is always there, being {given}; what stands after '??' would never be used")
                return None
        if len({t.kind for t in types}) > 1:
            self.fault(node.args[-1], f"'??' joins {' and '.join(t.kind for t in types)}; all must be alike")
            return None
        self._sum_bound(node)
        node.most = max(a.most for a in node.args)
        return types[-1]

    def _sum(self, node):
        one, two = (self._type(a) for a in node.args)
        if one is None or two is None:
            return None
        if one != two or one.maybe or one.kind not in ("number", "span", "text"):
            self.fault(node, f"'{node.value}' joins two numbers, two time spans or two texts, not {one} and {two}")
            return None
        if one == TEXT and node.value == "-":
            self.fault(node, "'-' takes numbers or time spans; a text cannot be taken from a text")
            return None
        node.most = sum(a.most for a in node.args)
        self._sum_bound(node, 1 + units(node.most))
        return one
