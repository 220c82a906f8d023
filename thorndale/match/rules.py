"""Rule sets, parsed, checked and compiled as a whole. The first rule that matches, by priority and then by position,
classifies the call.

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

To avoid evaluating thousands of rules in sequence, rules are indexed. From each conjunction of tests one is indexed:
equality with a text, or a prefix. All indexed tests of the same value share a table, so the value is evaluated once
and a look-up gives the few rules whose indexed test holds. Only these, and the rules without an indexable test, are
evaluated further.
"""

from typing import NamedTuple

from xxhash import xxh64_hexdigest, xxh64_intdigest

from thorndale.match import parse
from thorndale.match.check import DEFAULT_MAX_STEPS, Checker, Scope, Table
from thorndale.match.compile import Compiler
from thorndale.match.errors import Diagnostic, MatchError
from thorndale.match.interpreter import Interpreter
from thorndale.match.tree import TEXT, YESNO, Node
from thorndale.sip.headers import is_token
from thorndale.spelling import nearest

MAX_RULES = 20_000
MAX_ENTRIES = 200_000  # per set or table
MAX_PRIORITY = 1_000_000
MAX_WEIGHT = 10_000
RESERVED_HEADERS = frozenset(
    ("via", "from", "to", "call-id", "cseq", "contact", "content-length", "route", "record-route")
)


class Outcome(NamedTuple):
    """The classification of a call, by the names in the settings. An empty `group` means the first choice of the call
    type, an empty `key` the default key of caller and number. `headers` are (name, value) pairs to set on the
    outgoing INVITE."""

    rule: str
    call_type: str
    group: str = ""
    client: str = ""
    key: str = ""
    priority_class: str = ""
    headers: tuple = ()


class Rule:
    """One parsed rule. `shares` are (group, weight) pairs, selected by the hash of `by`; `headers` are (name, tree)."""

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


class AllowedNames(NamedTuple):
    """The call types, trunk groups and clients that a rule may name; None allows any."""

    types: tuple | None = None
    groups: tuple | None = None
    clients: tuple | None = None


ANY_NAMES = AllowedNames()


def reject_files(path, columns):
    """The default reader, for sources without file access: reports a set or table `from` a file as an error."""
    raise ValueError("sets and tables from files cannot be read here")


def load(source, names=ANY_NAMES, name="rules", max_steps=DEFAULT_MAX_STEPS, read=reject_files):
    """Returns a RuleSet. `read(path, columns)` returns the rows of a file, each with that many texts, and raises an
    exception with a description for a malformed file. Raises MatchError with every error of the text."""
    found = RuleSet(*check_rules(parse.read(source, "start", name), source, names, name, max_steps, read))
    found.digest = xxh64_hexdigest(source.encode("utf-8", "surrogateescape"))
    return found


def check_rules(tree, source, names, name, max_steps, read=reject_files):
    scope = Scope()
    checker = Checker(scope, max_steps)
    rules, default, defined_at = [], None, {}

    def add_error(position, text):
        checker.diagnostics.append(Diagnostic(position.line, position.column, text))

    def declare(token):
        word = str(token)
        if word in reserved_names():
            add_error(token, f"{word!r} is a name of the language")
        elif word in defined_at:
            add_error(token, f"{word!r} is already defined at line {defined_at[word]}")
        defined_at.setdefault(word, token.line)
        return word

    def read_rows(token, columns):
        try:
            found = read(parse.unescape(token), columns)
        except Exception as error:  # noqa: BLE001 - any reader error is reported at this line
            add_error(token, str(error))
            return []
        if len(found) > MAX_ENTRIES:
            add_error(token, f"more than {MAX_ENTRIES} rows")
        return found

    for item in tree.children:
        if item.data == "set_file":
            word = declare(item.children[0])
            scope.sets[word] = frozenset(row[0] for row in read_rows(item.children[1], 1))
        elif item.data == "table_file":
            word, rows = declare(item.children[0]), dict(read_rows(item.children[1], 2))
            scope.tables[word] = Table(rows, tuple(sorted({len(p) for p in rows}, reverse=True)))
        elif item.data == "set_item":
            word, values = declare(item.children[0]), [parse.build_node(c) for c in item.children[1:]]
            for value in values:
                checker.check(value)
            if len({v.type for v in values}) > 1:
                mismatched = next(v for v in values if v.type != values[0].type)
                add_error(
                    mismatched, f"a set holds values of one type: this is {mismatched.type}, the first {values[0].type}"
                )
            if len(values) > MAX_ENTRIES:
                add_error(item.children[0], f"more than {MAX_ENTRIES} values")
            scope.sets[word] = frozenset(v.value for v in values)
        elif item.data == "table_item":
            word, rows = declare(item.children[0]), {}
            for entry in item.children[1:]:
                prefix, value = (parse.unescape(c) for c in entry.children)
                if prefix in rows:
                    add_error(entry.children[0], f"{prefix!r} appears twice in this table")
                rows[prefix] = value
            if len(rows) > MAX_ENTRIES:
                add_error(item.children[0], f"more than {MAX_ENTRIES} values")
            scope.tables[word] = Table(rows, tuple(sorted({len(p) for p in rows}, reverse=True)))
        elif item.data == "let_item":
            word, value = declare(item.children[0]), parse.build_node(item.children[1])
            before = len(checker.diagnostics)
            if any(n.kind == "name" and n.value == word for n in value):
                add_error(item.children[0], f"{word!r} refers to itself; a let may use only lets above it")
            else:
                checker.check(value)
            scope.lets[word] = value if len(checker.diagnostics) == before else None
        elif item.data == "rule_item":
            rule = Rule(parse.unescape(item.children[0]), item.children[0].line, item.children[0].column)
            key = ("rule", rule.name)
            if key in defined_at:
                add_error(item.children[0], f"a rule {rule.name!r} is already defined at line {defined_at[key]}")
            defined_at.setdefault(key, rule.line)
            _read_clauses(rule, item.children[1:], item, checker, names, add_error)
            if rule.when is None:
                add_error(
                    item.children[0], "has no 'when'; for a rule that matches all other calls write default { ... }"
                )
            rules.append(rule)
        else:
            if default is not None:
                add_error(item.meta, f"a default is already defined at line {default.line}")
            default = Rule("default", item.meta.line, item.meta.column)
            _read_clauses(default, item.children, item, checker, names, add_error)
            if default.when is not None:
                add_error(item.meta, "a default cannot have a 'when'")
    if len(rules) > MAX_RULES:
        checker.diagnostics.append(Diagnostic(1, 1, f"{len(rules)} rules, the limit is {MAX_RULES}"))
    if checker.diagnostics:
        raise MatchError(checker.diagnostics, source, name)
    rules.sort(key=lambda r: -r.priority)  # stable: rules of one priority keep their file order
    for n, rule in enumerate(rules):
        rule.order = n
    return rules, default, scope, name


def reserved_names():
    from thorndale.match.functions import FUNCTIONS, NAMES

    return {*FUNCTIONS, *NAMES}


def _word_of(tree):
    token = tree.children[0]
    return parse.unescape(token) if token.startswith('"') else str(token), token


def _read_clauses(rule, clauses, item, checker, names, add_error):
    seen = set()

    def check_name(tree, allowed, what):
        word, token = _word_of(tree)
        if allowed is not None and word not in allowed:
            suggestion = nearest(word, allowed)
            add_error(token, f"unknown {what} {word!r}" + (f"; {suggestion!r} is meant?" if suggestion else ""))
        return word

    for clause in clauses:
        kind = str(clause.data)[:-5]
        exclusive_kind = {"group": "share", "share": "group"}.get(kind)
        if kind in seen and kind != "header" or exclusive_kind in seen:
            add_error(
                clause.meta, f"{'group or share' if kind in ('group', 'share') else kind} is already given in this rule"
            )
        seen.add(kind)
        nodes = clause.children
        if kind == "when":
            rule.when = parse.build_node(nodes[0])
            checker.check(rule.when, YESNO, "'when'")
        elif kind == "priority":
            rule.priority = float(nodes[0])
            if rule.priority != int(rule.priority) or rule.priority > MAX_PRIORITY:
                add_error(nodes[0], f"a priority is a whole number up to {MAX_PRIORITY}")
        elif kind == "type":
            rule.call_type = check_name(nodes[0], names.types, "call type")
        elif kind == "group":
            rule.group = check_name(nodes[0], names.groups, "trunk group")
        elif kind == "client":
            rule.client = check_name(nodes[0], names.clients, "client")
        elif kind == "class":
            rule.priority_class = _word_of(nodes[0])[0]
        elif kind == "key":
            rule.key = parse.build_node(nodes[0])
            checker.check(rule.key, TEXT, "a key")
        elif kind == "share":
            rule.by = parse.build_node(nodes[0])
            checker.check(rule.by, TEXT, "the value of 'share by'")
            for weight in nodes[1:]:
                word = check_name(weight.children[0], names.groups, "trunk group")
                number = float(weight.children[1]) if len(weight.children) > 1 else 1.0
                if number != int(number) or not 1 <= number <= MAX_WEIGHT:
                    add_error(weight.children[1], f"a weight is a whole number from 1 to {MAX_WEIGHT}")
                if word in [g for g, _ in rule.shares]:
                    add_error(weight.meta, f"{word!r} already has a share")
                rule.shares.append((word, int(number)))
        else:
            name = parse.unescape(nodes[0])
            if not is_token(name) or name.lower() in RESERVED_HEADERS:
                add_error(nodes[0], f"{name!r} is not a header that a rule may set")
            value = parse.build_node(nodes[1])
            checker.check(value, TEXT, "a header's value")
            rule.headers.append((name, value))
    if not rule.call_type:
        add_error(item.children[0] if rule.name != "default" else item.meta, "has no 'type'")


def conditions(tree):
    """The tests of a conjunction, flattened from nested 'and' nodes."""
    return [c for arg in tree.args for c in conditions(arg)] if tree.kind == "and" else [tree]


def indexable_test(condition):
    """(kind, tree of the value, texts) of an indexable test, where kind is 'is' or 'prefix'; else None."""
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
    """A checked rule set. `classify(facts)` returns an Outcome, or None if no rule matches and there is no default."""

    def __init__(self, rules, default, scope, name="rules"):
        self.rules, self.default, self.scope, self.name = rules, default, scope, name
        self.digest = ""  # of the source text; empty if built without one
        self.evaluation_errors = 0  # evaluations that raised an exception, which means a defect in the checker
        self.last_error = ""
        compiler = Compiler(scope, [t for rule in [*rules, *([default] if default else [])] for t in rule.trees()])
        tables = {}  # (kind, identity of the value): (tree, {text: [order]})
        self.unindexed, self.residuals = [], []
        for rule in rules:
            tests = conditions(rule.when)
            indexed = self._pick_indexed(tests)
            if indexed is None:
                self.unindexed.append(rule.order)
            else:
                kind, value, texts = indexable_test(indexed)
                _, rows = tables.setdefault((kind, value.identity()), (value, {}))
                for text in texts:
                    rows.setdefault(text, []).append(rule.order)
            residual = [t for t in tests if t is not indexed]
            if not residual:
                self.residuals.append(None)
            else:
                condition = residual[0] if len(residual) == 1 else self._conjunction(residual)
                self.residuals.append(compiler.function(condition))
        self.exact_indexes, self.prefix_indexes = [], []
        for (kind, _), (value, rows) in tables.items():
            run = compiler.function(value)
            if kind == "is":
                self.exact_indexes.append((run, rows))
            else:
                self.prefix_indexes.append((run, rows, sorted({len(t) for t in rows})))
        self.actions = [self._action(rule, compiler) for rule in rules]
        self.default_action = self._action(default, compiler) if default else None

    @staticmethod
    def _pick_indexed(tests):
        """The test to index: equality before prefix, then the one with the longest text."""
        found = [(t, indexable_test(t)) for t in tests]
        found = [(t, test) for t, test in found if test is not None]
        if not found:
            return None
        return max(found, key=lambda pair: (pair[1][0] == "is", len(pair[1][2][0])))[0]

    @staticmethod
    def _conjunction(tests):
        conjunction = Node("and", tests, None, tests[0].line, tests[0].column)
        conjunction.type, conjunction.bound = YESNO, 1 + sum(t.bound for t in tests)
        return conjunction

    @staticmethod
    def _action(rule, compiler):
        base_outcome = Outcome(rule.name, rule.call_type, rule.group, rule.client, "", rule.priority_class, ())
        if rule.by is None and rule.key is None and not rule.headers:
            return lambda facts: base_outcome
        by = compiler.function(rule.by) if rule.by is not None else None
        key = compiler.function(rule.key) if rule.key is not None else None
        headers = [(name, compiler.function(tree)) for name, tree in rule.headers]
        total = sum(weight for _, weight in rule.shares)

        def run(facts):
            group = pick_by_hash(by(facts), rule.shares, total) if by else rule.group
            return base_outcome._replace(
                group=group,
                key=key(facts) if key else "",
                headers=tuple((name, value(facts)) for name, value in headers),
            )

        return run

    def bound(self):
        """An upper bound on the steps of any call: every expression of every rule once."""
        return sum(tree.bound for rule in self.rules for tree in rule.trees()) + (
            sum(tree.bound for tree in self.default.trees()) if self.default else 0
        )

    def candidates(self, facts):
        """Positions of the rules whose indexed test holds and of the rules without one, in ascending order."""
        found = []
        for run, rows in self.exact_indexes:
            orders = rows.get(run(facts))
            if orders:
                found.append(orders)
        for run, rows, lengths in self.prefix_indexes:
            text = run(facts)
            for length in lengths:
                if length > len(text):
                    break
                orders = rows.get(text[:length])
                if orders:
                    found.append(orders)
        if self.unindexed:
            found.append(self.unindexed)
        if len(found) == 1:
            return found[0]
        return sorted(order for orders in found for order in orders)

    def classify(self, facts):
        """Never raises: if evaluation fails, the call gets the default outcome and `evaluation_errors` counts it."""
        try:
            for order in self.candidates(facts):
                residual = self.residuals[order]
                if residual is None or residual(facts):
                    return self.actions[order](facts)
        except Exception as error:  # noqa: BLE001 - a defect in the checker must not lose the call
            self.evaluation_errors += 1
            self.last_error = repr(error)
        return self.default_action(facts) if self.default_action else None

    def explain(self, facts):
        """Evaluates the rules one by one with the interpreter, up to the first that matches. Returns a list of (rule,
        matches, [(line, column, kind, value)]) and the outcome. Slow; for diagnostics."""
        tried = []
        for rule in self.rules:
            values = []
            interpreter = Interpreter(
                self.scope,
                facts,
                lambda node, value, values=values: values.append((node.line, node.column, node.kind, value)),
            )
            fits = interpreter.value(rule.when)
            tried.append((rule, fits, values))
            if fits:
                return tried, interpret_rule(rule, self.scope, facts)
        return tried, interpret_rule(self.default, self.scope, facts) if self.default else None


def pick_by_hash(text, shares, total):
    """Selects a group by the hash of a text, in proportion to the weights; the same text gives the same group."""
    offset = xxh64_intdigest(text.encode("utf-8", "surrogateescape")) % total
    for group, weight in shares:
        if offset < weight:
            return group
        offset -= weight
    return shares[-1][0]


def interpret_rule(rule, scope, facts):
    """The outcome of a rule, evaluated by the interpreter."""
    interpreter = Interpreter(scope, facts)
    group = (
        pick_by_hash(interpreter.value(rule.by), rule.shares, sum(w for _, w in rule.shares)) if rule.by else rule.group
    )
    return Outcome(
        rule.name,
        rule.call_type,
        group,
        rule.client,
        interpreter.value(rule.key) if rule.key else "",
        rule.priority_class,
        tuple((name, interpreter.value(tree)) for name, tree in rule.headers),
    )


def interpret_rules(rules, facts):
    """Reference for `classify`: evaluates the rules in sequence with the interpreter. Returns (outcome, steps)."""
    interpreter = Interpreter(rules.scope, facts)
    for rule in rules.rules:
        if interpreter.value(rule.when):
            return interpret_rule(rule, rules.scope, facts), interpreter.steps
    return (interpret_rule(rules.default, rules.scope, facts) if rules.default else None), interpreter.steps
