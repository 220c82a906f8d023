"""Rule sets: read, checked, compiled whole; the first rule that fits, by priority and then by place, sorts the call.

    set vip = ["+22177000001", "+22177000002"]
    table stations = {"+22133": "thies-1", "+2213": "dakar-1"}
    let station = header("X-Station") ?? "none"
    rule "leaving" {
      priority 5
      when prefix(number, "+22133") and station == "thies"
      type leaving-soon
      share by caller [thies-1: 2, dakar-1]
      client coaches
    }
    default { type timetable group dakar-1 }

A thousand rules are not tried one after another. From each condition that is a row of 'and's one test is taken out:
of equality with a text, or of a prefix. All such tests of one value share a table, so that the value is worked out
once and a look-up gives the few rules whose test holds; only these, and the rules without such a test, are tried.
"""

from typing import NamedTuple

from xxhash import xxh64_hexdigest, xxh64_intdigest

from thorndale.match import parse
from thorndale.match.check import STEPS_MOST, Checker, Scope, Table
from thorndale.match.compile import Compiler
from thorndale.match.faults import Fault, MatchError
from thorndale.match.tree import TEXT, YESNO, Node
from thorndale.match.walk import Walker
from thorndale.sip.headers import is_token
from thorndale.spelling import nearest

RULES_MOST = 20_000
ENTRIES_MOST = 200_000  # values of one set or table
PRIORITY_MOST = 1_000_000
WEIGHT_MOST = 10_000
TOUCHED = frozenset(("via", "from", "to", "call-id", "cseq", "contact", "content-length", "route", "record-route"))


class Outcome(NamedTuple):
    """What a call is: names as the settings have them. `group` '' means the call type's own first choice, `key` '' the
    usual one over caller and number. `headers` are pairs to be set on the way out."""

    rule: str
    call_type: str
    group: str = ""
    client: str = ""
    key: str = ""
    priority_class: str = ""
    headers: tuple = ()


class Rule:
    """One rule as it was read. `shares` are (group, weight) with `by`; `headers` (name, tree)."""

    __slots__ = (
        "name",
        "line",
        "column",
        "priority",
        "when",
        "call_type",
        "group",
        "by",
        "shares",
        "client",
        "key",
        "priority_class",
        "headers",
        "order",
    )

    def __init__(self, name, line, column):
        self.name, self.line, self.column, self.priority, self.order = name, line, column, 0, 0
        self.when = self.by = self.key = None
        self.call_type = self.group = self.client = self.priority_class = ""
        self.shares, self.headers = [], []

    def trees(self):
        return [t for t in (self.when, self.by, self.key, *(tree for _, tree in self.headers)) if t is not None]


class Names(NamedTuple):
    """What a rule may name; None: anything."""

    types: tuple | None = None
    groups: tuple | None = None
    clients: tuple | None = None


ANYTHING = Names()


def no_files(path, columns):
    """Where nobody reads files: a set or table `from` one is a fault."""
    raise ValueError("sets and tables from files cannot be read here")


def load(source, names=ANYTHING, name="rules", steps_most=STEPS_MOST, read=no_files):
    """A RuleSet. `read(path, columns)` gives the rows of a file, each that many texts, and raises an exception whose
    text says what is wrong with it. Raises MatchError with every fault of the text."""
    found = RuleSet(*_checked(parse.read(source, "start", name), source, names, name, steps_most, read))
    found.digest = xxh64_hexdigest(source.encode("utf-8", "surrogateescape"))
    return found


def _checked(tree, source, names, name, steps_most, read=no_files):
    scope = Scope()
    checker = Checker(scope, steps_most)
    rules, default, taken = [], None, {}

    def fault(at, text):
        checker.faults.append(Fault(at.line, at.column, text))

    def fresh(token):
        word = str(token)
        if word in parse_names():
            fault(token, f"{word!r} is a name of the language")
        elif word in taken:
            fault(token, f"{word!r} stands at line {taken[word]} already")
        taken.setdefault(word, token.line)
        return word

    def rows_of(token, columns):
        try:
            found = read(parse.unescaped(token), columns)
        except Exception as wrong:  # noqa: BLE001 - whatever the reader says is a fault of this line
            fault(token, str(wrong))
            return []
        if len(found) > ENTRIES_MOST:
            fault(token, f"more than {ENTRIES_MOST} rows")
        return found

    for item in tree.children:
        if item.data == "set_file":
            word = fresh(item.children[0])
            scope.sets[word] = frozenset(row[0] for row in rows_of(item.children[1], 1))
        elif item.data == "table_file":
            word, rows = fresh(item.children[0]), dict(rows_of(item.children[1], 2))
            scope.tables[word] = Table(rows, tuple(sorted({len(p) for p in rows}, reverse=True)))
        elif item.data == "set_item":
            word, values = fresh(item.children[0]), [parse.node(c) for c in item.children[1:]]
            for value in values:
                checker.check(value)
            if len({v.type for v in values}) > 1:
                odd = next(v for v in values if v.type != values[0].type)
                fault(odd, f"a set holds values of one type: this is {odd.type}, the first {values[0].type}")
            if len(values) > ENTRIES_MOST:
                fault(item.children[0], f"more than {ENTRIES_MOST} values")
            scope.sets[word] = frozenset(v.value for v in values)
        elif item.data == "table_item":
            word, rows = fresh(item.children[0]), {}
            for entry in item.children[1:]:
                prefix, value = (parse.unescaped(c) for c in entry.children)
                if prefix in rows:
                    fault(entry.children[0], f"{prefix!r} stands in this table twice")
                rows[prefix] = value
            if len(rows) > ENTRIES_MOST:
                fault(item.children[0], f"more than {ENTRIES_MOST} values")
            scope.tables[word] = Table(rows, tuple(sorted({len(p) for p in rows}, reverse=True)))
        elif item.data == "let_item":
            word, value = fresh(item.children[0]), parse.node(item.children[1])
            before = len(checker.faults)
            if any(n.kind == "name" and n.value == word for n in value):
                fault(item.children[0], f"{word!r} names itself; a let may use only lets above it")
            else:
                checker.check(value)
            scope.lets[word] = value if len(checker.faults) == before else None
        elif item.data == "rule_item":
            rule = Rule(parse.unescaped(item.children[0]), item.children[0].line, item.children[0].column)
            key = ("rule", rule.name)
            if key in taken:
                fault(item.children[0], f"a rule {rule.name!r} stands at line {taken[key]} already")
            taken.setdefault(key, rule.line)
            _parts(rule, item.children[1:], item, checker, names, fault)
            if rule.when is None:
                fault(item.children[0], "has no 'when'; a rule for all other calls is written default { ... }")
            rules.append(rule)
        else:
            if default is not None:
                fault(item.meta, f"a default stands at line {default.line} already")
            default = Rule("default", item.meta.line, item.meta.column)
            _parts(default, item.children, item, checker, names, fault)
            if default.when is not None:
                fault(item.meta, "a default has no 'when'")
    if len(rules) > RULES_MOST:
        checker.faults.append(Fault(1, 1, f"{len(rules)} rules, {RULES_MOST} are allowed"))
    if checker.faults:
        raise MatchError(checker.faults, source, name)
    rules.sort(key=lambda r: -r.priority)  # stable: equal ones stay in their order
    for n, rule in enumerate(rules):
        rule.order = n
    return rules, default, scope, name


def parse_names():
    from thorndale.match.functions import FUNCTIONS, NAMES

    return {*FUNCTIONS, *NAMES}


def _word(tree):
    token = tree.children[0]
    return parse.unescaped(token) if token.startswith('"') else str(token), token


def _parts(rule, parts, item, checker, names, fault):
    seen = set()

    def known(tree, among, what):
        word, token = _word(tree)
        if among is not None and word not in among:
            near = nearest(word, among)
            fault(token, f"unknown {what} {word!r}" + (f"; {near!r} is meant?" if near else ""))
        return word

    for part in parts:
        kind = str(part.data)[:-5]
        rival = {"group": "share", "share": "group"}.get(kind)
        if kind in seen and kind != "header" or rival in seen:
            fault(part.meta, f"{'group or share' if kind in ('group', 'share') else kind} stands in this rule already")
        seen.add(kind)
        kids = part.children
        if kind == "when":
            rule.when = parse.node(kids[0])
            checker.check(rule.when, YESNO, "'when'")
        elif kind == "priority":
            rule.priority = float(kids[0])
            if rule.priority != int(rule.priority) or rule.priority > PRIORITY_MOST:
                fault(kids[0], f"a priority is a whole number up to {PRIORITY_MOST}")
        elif kind == "type":
            rule.call_type = known(kids[0], names.types, "call type")
        elif kind == "group":
            rule.group = known(kids[0], names.groups, "trunk group")
        elif kind == "client":
            rule.client = known(kids[0], names.clients, "client")
        elif kind == "class":
            rule.priority_class = _word(kids[0])[0]
        elif kind == "key":
            rule.key = parse.node(kids[0])
            checker.check(rule.key, TEXT, "a key")
        elif kind == "share":
            rule.by = parse.node(kids[0])
            checker.check(rule.by, TEXT, "what is shared by")
            for weight in kids[1:]:
                word = known(weight.children[0], names.groups, "trunk group")
                number = float(weight.children[1]) if len(weight.children) > 1 else 1.0
                if number != int(number) or not 1 <= number <= WEIGHT_MOST:
                    fault(weight.children[1], f"a weight is a whole number from 1 to {WEIGHT_MOST}")
                if word in [g for g, _ in rule.shares]:
                    fault(weight.meta, f"{word!r} has a share already")
                rule.shares.append((word, int(number)))
        else:
            name = parse.unescaped(kids[0])
            if not is_token(name) or name.lower() in TOUCHED:
                fault(kids[0], f"{name!r} is no header that a rule may set")
            value = parse.node(kids[1])
            checker.check(value, TEXT, "a header's value")
            rule.headers.append((name, value))
    if not rule.call_type:
        fault(item.children[0] if rule.name != "default" else item.meta, "has no 'type'")


def conditions(tree):
    """The tests that must all hold, from a tree of 'and's."""
    return [c for arg in tree.args for c in conditions(arg)] if tree.kind == "and" else [tree]


def test_of(condition):
    """(kind, tree of the value, texts) of a test that can go into a table: 'is' or 'prefix'; else None."""
    kind, args = condition.kind, condition.args
    if kind == "compare" and condition.value == "==":
        for value, literal in ((args[0], args[1]), (args[1], args[0])):
            if literal.kind == "literal" and isinstance(literal.value, str) and value.kind != "literal":
                return "is", value, (literal.value,)
    elif (
        kind == "in"
        and condition.value is None
        and args[0].kind != "literal"
        and args[1].kind == "list"
        and all(a.kind == "literal" for a in args[1].args)
    ):
        return "is", args[0], tuple(dict.fromkeys(a.value for a in args[1].args))
    elif kind == "call" and condition.value == "prefix" and args[0].kind != "literal" and args[1].kind == "literal":
        return "prefix", args[0], (args[1].value,)
    return None


class RuleSet:
    """A checked set in force. `sort(facts)` gives an Outcome, or None where no rule fits and there is no default."""

    def __init__(self, rules, default, scope, name="rules"):
        self.rules, self.default, self.scope, self.name = rules, default, scope, name
        self.digest = ""  # of the text that it was made of, where there was one
        self.broken = 0  # evaluations that failed all the same: the checker has a fault
        self.last_fault = ""
        compiler = Compiler(scope, [t for rule in [*rules, *([default] if default else [])] for t in rule.trees()])
        tables = {}  # (kind, identity of the value): [tree, {text: [order]}]
        self.others, self.rests = [], []
        for rule in rules:
            tests = conditions(rule.when)
            picked = self._pick(tests)
            if picked is None:
                self.others.append(rule.order)
            else:
                kind, value, texts = test_of(picked)
                _, rows = tables.setdefault((kind, value.identity()), (value, {}))
                for text in texts:
                    rows.setdefault(text, []).append(rule.order)
            rest = [t for t in tests if t is not picked]
            if not rest:
                self.rests.append(None)
            else:
                whole = rest[0] if len(rest) == 1 else self._row(rest)
                self.rests.append(compiler.function(whole))
        self.exact, self.prefixes = [], []
        for (kind, _), (value, rows) in tables.items():
            run = compiler.function(value)
            if kind == "is":
                self.exact.append((run, rows))
            else:
                self.prefixes.append((run, rows, sorted({len(t) for t in rows})))
        self.actions = [self._action(rule, compiler) for rule in rules]
        self.default_action = self._action(default, compiler) if default else None

    @staticmethod
    def _pick(tests):
        """The test to be looked up: equality before prefix, the longest prefix."""
        found = [(t, test_of(t)) for t in tests]
        found = [(t, test) for t, test in found if test is not None]
        if not found:
            return None
        return max(found, key=lambda pair: (pair[1][0] == "is", len(pair[1][2][0])))[0]

    @staticmethod
    def _row(tests):
        made = Node("and", tests, None, tests[0].line, tests[0].column)
        made.type, made.bound = YESNO, 1 + sum(t.bound for t in tests)
        return made

    @staticmethod
    def _action(rule, compiler):
        fixed = Outcome(rule.name, rule.call_type, rule.group, rule.client, "", rule.priority_class, ())
        if rule.by is None and rule.key is None and not rule.headers:
            return lambda facts: fixed
        by = compiler.function(rule.by) if rule.by is not None else None
        key = compiler.function(rule.key) if rule.key is not None else None
        headers = [(name, compiler.function(tree)) for name, tree in rule.headers]
        total = sum(weight for _, weight in rule.shares)

        def run(facts):
            group = shared(by(facts), rule.shares, total) if by else rule.group
            return fixed._replace(
                group=group,
                key=key(facts) if key else "",
                headers=tuple((name, value(facts)) for name, value in headers),
            )

        return run

    def bound(self):
        """Steps that no call can pass: every part of every rule once."""
        return sum(tree.bound for rule in self.rules for tree in rule.trees()) + (
            sum(tree.bound for tree in self.default.trees()) if self.default else 0
        )

    def candidates(self, facts):
        """Orders of the rules whose looked-up test holds, and of those without one, smallest first."""
        found = []
        for run, rows in self.exact:
            orders = rows.get(run(facts))
            if orders:
                found.append(orders)
        for run, rows, lengths in self.prefixes:
            text = run(facts)
            for length in lengths:
                if length > len(text):
                    break
                orders = rows.get(text[:length])
                if orders:
                    found.append(orders)
        if self.others:
            found.append(self.others)
        if len(found) == 1:
            return found[0]
        return sorted(order for orders in found for order in orders)

    def sort(self, facts):
        """Never raises: where the checker missed something the call takes the default, and `broken` counts it."""
        try:
            for order in self.candidates(facts):
                rest = self.rests[order]
                if rest is None or rest(facts):
                    return self.actions[order](facts)
        except Exception as fault:  # noqa: BLE001 - guards against a hole in the checker, whatever it is
            self.broken += 1
            self.last_fault = repr(fault)
        return self.default_action(facts) if self.default_action else None

    def explain(self, facts):
        """What the plain interpreter sees, rule by rule up to the first that fits: a list of (rule, fits,
        [(line, column, kind, value)]), and the outcome. For people; slow."""
        tried = []
        for rule in self.rules:
            parts = []
            walker = Walker(
                self.scope,
                facts,
                lambda node, value, parts=parts: parts.append((node.line, node.column, node.kind, value)),
            )
            fits = walker.value(rule.when)
            tried.append((rule, fits, parts))
            if fits:
                return tried, walked(rule, self.scope, facts)
        return tried, walked(self.default, self.scope, facts) if self.default else None


def shared(text, shares, total):
    """The group of a text by hash: the same for the same text, in the parts that the weights say."""
    left = xxh64_intdigest(text.encode("utf-8", "surrogateescape")) % total
    for group, weight in shares:
        if left < weight:
            return group
        left -= weight
    return shares[-1][0]


def walked(rule, scope, facts):
    """The outcome of a rule by the plain interpreter."""
    walker = Walker(scope, facts)
    group = shared(walker.value(rule.by), rule.shares, sum(w for _, w in rule.shares)) if rule.by else rule.group
    return Outcome(
        rule.name,
        rule.call_type,
        group,
        rule.client,
        walker.value(rule.key) if rule.key else "",
        rule.priority_class,
        tuple((name, walker.value(tree)) for name, tree in rule.headers),
    )


def plain(rules, facts):
    """What the set must do, rules tried one after another by the plain interpreter: outcome, steps."""
    walker = Walker(rules.scope, facts)
    for rule in rules.rules:
        if walker.value(rule.when):
            return walked(rule, rules.scope, facts), walker.steps
    return (walked(rules.default, rules.scope, facts) if rules.default else None), walker.steps
