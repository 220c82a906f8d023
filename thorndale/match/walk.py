"""The plain interpreter: walks the tree and counts its steps. What the compiled form must agree with, and what tells
why a rule did or did not fit."""

import operator

from thorndale.match.functions import FUNCTIONS, NAMES, PARTS, prepared, units
from thorndale.match.tree import Node

COMPARE = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    ">": operator.gt,
    "<=": operator.le,
    ">=": operator.ge,
}


def size(value):
    return len(value) if isinstance(value, (str, list)) else 0


class Walker:
    """`scope` holds sets, tables and lets; `steps` counts over all calls of `value`; `seen` is told each value."""

    def __init__(self, scope, facts, seen=None):
        self.scope, self.facts, self.steps, self.seen = scope, facts, 0, seen

    def value(self, node):
        found = getattr(self, f"_{node.kind}")(node)
        if self.seen is not None:
            self.seen(node, found)
        return found

    def _literal(self, node):
        self.steps += 1
        return node.value

    def _name(self, node):
        if node.value in NAMES:
            found = NAMES[node.value][4](self.facts)
            if node.value == "transport":
                self.steps += 1
            else:
                text = self.facts.invite.get("from") if node.value.startswith("caller") else self.facts.invite.uri
                self.steps += min(NAMES[node.value][2], 2 + (5 if isinstance(found, str) else 4) * units(len(text)))
            return found
        self.steps += 1
        return self.value(self.scope.lets[node.value])

    def _part(self, node):
        found = self.value(node.args[0])
        self.steps += 1
        return PARTS[node.value][2](found)

    def _call(self, node):
        function = FUNCTIONS[node.value]
        if node.value == "longest":
            text, table = self.value(node.args[0]), self.scope.tables[node.args[1].value]
            self.steps += 1 + sum(1 + units(n) for n in table.lengths)
            return function.run(self.facts, text, table)
        values = [self.value(a) for a in node.args]
        if node.value in ("header", "headers"):
            fields = self.facts.invite.fields
            self.steps += min(
                function.cost([0]),
                len(fields) + units(sum(len(v) for k, _, v in fields if k == node.args[0].value.lower())),
            )
        else:
            self.steps += function.cost([size(v) for v in values])
        return function.run(self.facts, *(prepared(function, values) if function.make else values))

    def _list(self, node):
        self.steps += 1
        return [self.value(a) for a in node.args]

    def _choice(self, node):
        self.steps += 1
        return self.value(node.args[1] if self.value(node.args[0]) else node.args[2])

    def _or(self, node):
        self.steps += 1
        return any(self.value(a) for a in node.args)

    def _and(self, node):
        self.steps += 1
        return all(self.value(a) for a in node.args)

    def _not(self, node):
        self.steps += 1
        return not self.value(node.args[0])

    def _compare(self, node):
        one, two = (self.value(a) for a in node.args)
        self.steps += 1 + units(min(size(one), size(two)))
        return COMPARE[node.value](one, two)

    def _in(self, node):
        found = self.value(node.args[0])
        if node.value is not None:
            self.steps += 1 + units(size(found))
            return found in self.scope.sets[node.value]
        among = self.value(node.args[1])
        written = node.args[1].kind == "list" and all(a.kind == "literal" for a in node.args[1].args)
        self.steps += 1 + (1 if written else max(1, len(among))) * (1 + units(size(found)))
        return found in among

    def _other(self, node):
        self.steps += 1
        for arg in node.args:
            found = self.value(arg)
            if found is not None:
                return found
        return None

    def _sum(self, node):
        one, two = (self.value(a) for a in node.args)
        self.steps += 1 + units(size(one) + size(two))
        return one + two if node.value == "+" else one - two


def constant(node):
    """Whether the value is the same for every message."""
    return all(
        n.kind != "name"
        and not (n.kind == "in" and n.value)
        and not (n.kind == "call" and n.value in ("header", "headers", "time", "weekday", "longest"))
        for n in node
    )


def folded(node, scope):
    """The tree with each constant part worked out once."""
    if node.kind == "literal":
        return node
    made = Node(node.kind, [folded(a, scope) for a in node.args], node.value, node.line, node.column)
    made.type, made.most, made.bound = node.type, node.most, node.bound
    if constant(made) and made.kind != "list" and made.type is not None and made.type.kind != "uri":
        value = Walker(scope, None).value(made)
        if value is not None:
            made = Node("literal", (), value, node.line, node.column)
            made.type, made.most, made.bound = node.type, size(value), 1
    return made
