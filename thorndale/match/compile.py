"""Compiles checked trees to Python functions.

To prevent code injection, no text of a rule gets into the generated source: literals, patterns, sets and tables are
bound in the namespace under numbered names, and the source is built from the kinds of the nodes alone.

Subexpressions that several expressions share, and lets, are evaluated once per call and cached in `facts.slots`.
"""

from collections import Counter

from thorndale.match.functions import FUNCTIONS, NAMES, URI_PARTS, prepare_literals
from thorndale.match.interpreter import fold_constants, is_constant

SHARE_MIN_STEPS = 4  # below this, caching a subexpression costs more than evaluating it again
INLINE_TEMPLATES = {
    "prefix": "{0}.startswith({1})",
    "suffix": "{0}.endswith({1})",
    "contains": "({1} in {0})",
    "length": "float(len({0}))",
    "count": "float(len({0}))",
    "lower": "{0}.lower()",
    "present": "({0} is not None)",
}


class Compiler:
    """Compiles expressions to functions of one argument, the Facts. One instance serves all expressions of a set."""

    def __init__(self, scope, expressions):
        """`expressions` are all checked trees to be compiled; they determine the shared subexpressions."""
        self.scope = scope
        self.namespace, self.serial, self.let_functions, self.shared_functions, self.temporary_count = {}, 0, {}, {}, 0
        self.folded_trees = {}
        counts = Counter()
        for tree in expressions:
            for part in self._fold_tree(tree):
                if part.args and part.bound >= SHARE_MIN_STEPS and part.kind != "list":
                    counts[part.identity()] += 1
        self.shared_keys = {key for key, n in counts.items() if n > 1}

    def _fold_tree(self, tree):
        cached = self.folded_trees.get(id(tree))
        if cached is None:  # keeps a reference to the tree: after its deletion another object could get its id
            cached = self.folded_trees[id(tree)] = (tree, fold_constants(tree, self.scope))
        return cached[1]

    def _bind(self, value, prefix="k"):
        self.serial += 1
        name = f"{prefix}{self.serial}"
        self.namespace[name] = value
        return name

    def function(self, tree):
        """The compiled function of a checked tree."""
        return self._define(self._emit(self._fold_tree(tree)))

    def _define(self, code, slot=None):
        self.serial += 1
        name = f"fn{self.serial}"
        if slot is None:
            text = f"def {name}(f):\n return {code}\n"
        else:
            text = (
                f"def {name}(f):\n s = f.slots\n v = s.get({slot}, s)\n if v is s:\n"
                f"  v = s[{slot}] = {code}\n return v\n"
            )
        exec(compile(text, "<rules>", "exec"), self.namespace)  # noqa: S102 - source holds node kinds and numbered names only
        return self.namespace[name]

    def _emit(self, node, top=False):
        if node.args and not top and node.identity() in self.shared_keys:
            name = self.shared_functions.get(node.identity())
            if name is None:
                made = self._define(self._emit(node, True), self.serial)
                name = self.shared_functions[node.identity()] = self._bind(made, "sh")
            return f"{name}(f)"
        return getattr(self, f"_{node.kind}")(node)

    def _literal(self, node):
        return self._bind(node.value)

    def _name(self, node):
        if node.value in NAMES:
            if node.value == "caller-uri":
                return "f.caller_uri"
            return f"f.{node.value}"
        name = self.let_functions.get(node.value)
        if name is None:
            made = self._define(self._emit(self._fold_tree(self.scope.lets[node.value])), self.serial)
            name = self.let_functions[node.value] = self._bind(made, "let")
        return f"{name}(f)"

    def _part(self, node):
        return f"{self._bind(URI_PARTS[node.value][2], 'part')}({self._emit(node.args[0])})"

    def _call(self, node):
        function = FUNCTIONS[node.value]
        if node.value == "longest":
            table = self._bind(self.scope.tables[node.args[1].value])
            return f"{self._bind(function.run, 'fun')}(f, {self._emit(node.args[0])}, {table})"
        if node.value in INLINE_TEMPLATES:
            return INLINE_TEMPLATES[node.value].format(*(self._emit(a) for a in node.args))
        if function.literal_kind:
            values = prepare_literals(function, [a.value if a.kind == "literal" else None for a in node.args])
            codes = [
                self._bind(values[n]) if n in function.literal_args else self._emit(a) for n, a in enumerate(node.args)
            ]
        else:
            codes = [self._emit(a) for a in node.args]
        return f"{self._bind(function.run, 'fun')}(f, {', '.join(codes)})"

    def _list(self, node):
        return f"[{', '.join(self._emit(a) for a in node.args)}]"

    def _choice(self, node):
        condition, if_true, if_false = (self._emit(a) for a in node.args)
        return f"({if_true} if {condition} else {if_false})"

    def _or(self, node):
        return "(" + " or ".join(self._emit(a) for a in node.args) + ")"

    def _and(self, node):
        return "(" + " and ".join(self._emit(a) for a in node.args) + ")"

    def _not(self, node):
        return f"(not {self._emit(node.args[0])})"

    def _compare(self, node):
        return f"({self._emit(node.args[0])} {node.value} {self._emit(node.args[1])})"

    def _in(self, node):
        left = self._emit(node.args[0])
        if node.value is not None:
            return f"({left} in {self._bind(self.scope.sets[node.value])})"
        right = node.args[1]
        if right.kind == "list" and is_constant(right) and all(a.kind == "literal" for a in right.args):
            return f"({left} in {self._bind(frozenset(a.value for a in right.args))})"
        return f"({left} in {self._emit(right)})"

    def _other(self, node):
        code = self._emit(node.args[-1])
        for arg in reversed(node.args[:-1]):
            self.temporary_count += 1
            name = f"t{self.temporary_count}"
            code = f"({name} if ({name} := {self._emit(arg)}) is not None else {code})"
        return code

    def _sum(self, node):
        return f"({self._emit(node.args[0])} {node.value} {self._emit(node.args[1])})"
