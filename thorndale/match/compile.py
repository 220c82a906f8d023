"""Checked trees to Python functions. Nothing of a rule's text gets into the code that is made: literals, forms, sets
and tables are handed over as values under numbered names; the code itself is put together from the tree's kinds alone.

Parts that several expressions share, and lets, are worked out once a call and kept in `facts.slots`.
"""

from collections import Counter

from thorndale.match.functions import FUNCTIONS, NAMES, PARTS, prepared
from thorndale.match.walk import constant, folded

SHARE_FROM = 4  # steps of a part from which keeping its value is dearer than working it out again
INLINE = {
    "prefix": "{0}.startswith({1})",
    "suffix": "{0}.endswith({1})",
    "contains": "({1} in {0})",
    "length": "float(len({0}))",
    "count": "float(len({0}))",
    "lower": "{0}.lower()",
    "present": "({0} is not None)",
}


class Compiler:
    """Makes functions of one argument, the facts. All expressions of a set go through one compiler."""

    def __init__(self, scope, expressions):
        """`expressions` are all checked trees that will be compiled: what they share is found first."""
        self.scope = scope
        self.space, self.serial, self.lets, self.shared, self.temporary = {}, 0, {}, {}, 0
        self.folded = {}
        counts = Counter()
        for tree in expressions:
            for part in self._fold(tree):
                if part.args and part.bound >= SHARE_FROM and part.kind != "list":
                    counts[part.identity()] += 1
        self.common = {key for key, n in counts.items() if n > 1}

    def _fold(self, tree):
        found = self.folded.get(id(tree))
        if found is None:  # the tree is kept too: another could be given its id once it is gone
            found = self.folded[id(tree)] = (tree, folded(tree, self.scope))
        return found[1]

    def _give(self, value, prefix="k"):
        self.serial += 1
        name = f"{prefix}{self.serial}"
        self.space[name] = value
        return name

    def function(self, tree):
        """The compiled form of a checked tree."""
        return self._made(self._code(self._fold(tree)))

    def _made(self, code, slot=None):
        self.serial += 1
        name = f"fn{self.serial}"
        if slot is None:
            text = f"def {name}(f):\n return {code}\n"
        else:
            text = (
                f"def {name}(f):\n s = f.slots\n v = s.get({slot}, s)\n if v is s:\n"
                f"  v = s[{slot}] = {code}\n return v\n"
            )
        exec(compile(text, "<rules>", "exec"), self.space)  # noqa: S102 - made above from kinds and numbered names
        return self.space[name]

    def _code(self, node, top=False):
        if node.args and not top and node.identity() in self.common:
            name = self.shared.get(node.identity())
            if name is None:
                made = self._made(self._code(node, True), self.serial)
                name = self.shared[node.identity()] = self._give(made, "sh")
            return f"{name}(f)"
        return getattr(self, f"_{node.kind}")(node)

    def _literal(self, node):
        return self._give(node.value)

    def _name(self, node):
        if node.value in NAMES:
            if node.value == "caller-uri":
                return "f.caller_uri"
            return f"f.{node.value}"
        name = self.lets.get(node.value)
        if name is None:
            made = self._made(self._code(self._fold(self.scope.lets[node.value])), self.serial)
            name = self.lets[node.value] = self._give(made, "let")
        return f"{name}(f)"

    def _part(self, node):
        return f"{self._give(PARTS[node.value][2], 'part')}({self._code(node.args[0])})"

    def _call(self, node):
        function = FUNCTIONS[node.value]
        if node.value == "longest":
            table = self._give(self.scope.tables[node.args[1].value])
            return f"{self._give(function.run, 'fun')}(f, {self._code(node.args[0])}, {table})"
        if node.value in INLINE:
            return INLINE[node.value].format(*(self._code(a) for a in node.args))
        if function.make:
            values = prepared(function, [a.value if a.kind == "literal" else None for a in node.args])
            codes = [
                self._give(values[n]) if n in function.literals else self._code(a) for n, a in enumerate(node.args)
            ]
        else:
            codes = [self._code(a) for a in node.args]
        return f"{self._give(function.run, 'fun')}(f, {', '.join(codes)})"

    def _list(self, node):
        return f"[{', '.join(self._code(a) for a in node.args)}]"

    def _choice(self, node):
        condition, one, two = (self._code(a) for a in node.args)
        return f"({one} if {condition} else {two})"

    def _or(self, node):
        return "(" + " or ".join(self._code(a) for a in node.args) + ")"

    def _and(self, node):
        return "(" + " and ".join(self._code(a) for a in node.args) + ")"

    def _not(self, node):
        return f"(not {self._code(node.args[0])})"

    def _compare(self, node):
        return f"({self._code(node.args[0])} {node.value} {self._code(node.args[1])})"

    def _in(self, node):
        left = self._code(node.args[0])
        if node.value is not None:
            return f"({left} in {self._give(self.scope.sets[node.value])})"
        right = node.args[1]
        if right.kind == "list" and constant(right) and all(a.kind == "literal" for a in right.args):
            return f"({left} in {self._give(frozenset(a.value for a in right.args))})"
        return f"({left} in {self._code(right)})"

    def _other(self, node):
        code = self._code(node.args[-1])
        for arg in reversed(node.args[:-1]):
            self.temporary += 1
            name = f"t{self.temporary}"
            code = f"({name} if ({name} := {self._code(arg)}) is not None else {code})"
        return code

    def _sum(self, node):
        return f"({self._code(node.args[0])} {node.value} {self._code(node.args[1])})"
