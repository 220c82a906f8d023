"""Tree-walking interpreter that counts its steps. It is the reference that compiled functions must agree with, and it
explains why a rule did or did not match."""

import operator

from thorndale.match.functions import FUNCTIONS, NAMES, URI_PARTS, prepare_literals, text_steps
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


class Interpreter:
    """`scope` holds sets, tables and lets; `steps` accumulates over all calls of `value`; `on_value(node, value)` is
    called with each evaluated node."""

    def __init__(self, scope, facts, on_value=None):
        self.scope, self.facts, self.steps, self.on_value = scope, facts, 0, on_value

    def value(self, node):
        result = getattr(self, f"_{node.kind}")(node)
        if self.on_value is not None:
            self.on_value(node, result)
        return result

    def _literal(self, node):
        self.steps += 1
        return node.value

    def _name(self, node):
        if node.value in NAMES:
            result = NAMES[node.value][4](self.facts)
            if node.value == "transport":
                self.steps += 1
            else:
                text = self.facts.invite.get("from") if node.value.startswith("caller") else self.facts.invite.uri
                self.steps += min(
                    NAMES[node.value][2], 2 + (5 if isinstance(result, str) else 4) * text_steps(len(text))
                )
            return result
        self.steps += 1
        return self.value(self.scope.lets[node.value])

    def _part(self, node):
        result = self.value(node.args[0])
        self.steps += 1
        return URI_PARTS[node.value][2](result)

    def _call(self, node):
        function = FUNCTIONS[node.value]
        if node.value == "longest":
            text, table = self.value(node.args[0]), self.scope.tables[node.args[1].value]
            self.steps += 1 + sum(1 + text_steps(n) for n in table.lengths)
            return function.run(self.facts, text, table)
        values = [self.value(a) for a in node.args]
        if node.value in ("header", "headers"):
            fields = self.facts.invite.fields
            self.steps += min(
                function.cost([0]),
                len(fields) + text_steps(sum(len(v) for k, _, v in fields if k == node.args[0].value.lower())),
            )
        else:
            self.steps += function.cost([size(v) for v in values])
        return function.run(self.facts, *(prepare_literals(function, values) if function.literal_kind else values))

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
        left, right = (self.value(a) for a in node.args)
        self.steps += 1 + text_steps(min(size(left), size(right)))
        return COMPARE[node.value](left, right)

    def _in(self, node):
        result = self.value(node.args[0])
        if node.value is not None:
            self.steps += 1 + text_steps(size(result))
            return result in self.scope.sets[node.value]
        container = self.value(node.args[1])
        all_literal = node.args[1].kind == "list" and all(a.kind == "literal" for a in node.args[1].args)
        self.steps += 1 + (1 if all_literal else max(1, len(container))) * (1 + text_steps(size(result)))
        return result in container

    def _other(self, node):
        self.steps += 1
        for arg in node.args:
            result = self.value(arg)
            if result is not None:
                return result
        return None

    def _sum(self, node):
        left, right = (self.value(a) for a in node.args)
        self.steps += 1 + text_steps(size(left) + size(right))
        return left + right if node.value == "+" else left - right


def is_constant(node):
    """Whether the value is the same for every message."""
    return all(
        n.kind != "name"
        and not (n.kind == "in" and n.value)
        and not (n.kind == "call" and n.value in ("header", "headers", "time", "weekday", "longest"))
        for n in node
    )


def fold_constants(node, scope):
    """A copy of the tree with each constant subexpression replaced by a literal."""
    if node.kind == "literal":
        return node
    folded_node = Node(node.kind, [fold_constants(a, scope) for a in node.args], node.value, node.line, node.column)
    folded_node.type, folded_node.max_size, folded_node.bound = node.type, node.max_size, node.bound
    if (
        is_constant(folded_node)
        and folded_node.kind != "list"
        and folded_node.type is not None
        and folded_node.type.kind != "uri"
    ):
        value = Interpreter(scope, None).value(folded_node)
        if value is not None:
            folded_node = Node("literal", (), value, node.line, node.column)
            folded_node.type, folded_node.max_size, folded_node.bound = node.type, size(value), 1
    return folded_node
