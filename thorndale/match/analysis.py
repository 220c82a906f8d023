"""Static analysis of a rule set with the z3 solver: rules that can never match, pairs of rules of one priority that
match the same call, and calls that match no rule.

The solver covers all texts, within a time limit; a question not decided in time is reported as 'unknown'.

Expressions that are not modelled (a hash, the time of day, a regular expression, the parts of a URI) become free
variables, one per distinct expression. A finding 'never' is therefore always correct. An example call may be spurious,
so it is first run through the compiled rules; an overlap or a gap that its call does not confirm is not reported as
one: an unconfirmed gap becomes 'unknown', an unconfirmed overlap is left out.
"""

import time
from typing import NamedTuple

import z3

from thorndale.match.facts import Facts
from thorndale.sip import message as m
from thorndale.sip.errors import SipError

QUERY_TIMEOUT_MS = 400  # per solver query
MAX_EARLIER_RULES = 40  # that a rule is compared with; leaving some out can only miss a 'never'
MAX_SET_VALUES = 60  # larger sets are modelled as a free boolean


class Finding(NamedTuple):
    """`kind` is never, both, none or unknown; `rules` names the rules concerned; `example` is a call with its number,
    caller and headers."""

    kind: str
    rules: tuple
    text: str
    example: dict | None = None


class Encoder:
    """Translates trees to z3 terms. An optional value is a pair (present, value)."""

    def __init__(self, scope):
        self.scope, self.free_values, self.headers, self.constraints = scope, {}, {}, []
        self.number, self.caller = z3.String("number"), z3.String("caller")

    def term(self, node):
        return getattr(self, f"_{node.kind}", self._opaque)(node)

    def _opaque(self, node):
        key = node.identity()
        if key not in self.free_values:
            name, kind = f"free{len(self.free_values)}", node.type.kind
            if kind == "text":
                variable = z3.String(name)
            elif kind == "yes/no":
                variable = z3.Bool(name)
            else:
                variable = z3.Real(name)
                self.constraints.append(variable >= 0)
            self.free_values[key] = (z3.Bool(name + "?"), variable) if node.type.optional else variable
        return self.free_values[key]

    def _literal(self, node):
        if isinstance(node.value, bool):
            return z3.BoolVal(node.value)
        if isinstance(node.value, float):
            return z3.RealVal(repr(node.value))
        return string_value(node.value)

    def _name(self, node):
        if node.value == "number":
            return self.number
        if node.value == "caller":
            return self.caller
        if node.value in self.scope.lets:
            return self.term(self.scope.lets[node.value])
        return self._opaque(node)

    def _call(self, node):
        if node.value == "header":
            name = node.args[0].value.lower()
            if name not in self.headers:
                self.headers[name] = (z3.Bool(f"has {name}"), z3.String(f"header {name}"))
            return self.headers[name]
        if node.value == "present":
            return self.term(node.args[0])[0]
        if node.value in ("prefix", "suffix", "contains", "length"):
            args = [self.term(a) for a in node.args]
            return {
                "prefix": lambda a, b: z3.PrefixOf(b, a),
                "suffix": lambda a, b: z3.SuffixOf(b, a),
                "contains": z3.Contains,
                "length": lambda a: z3.ToReal(z3.Length(a)),
            }[node.value](*args)
        return self._opaque(node)

    def _choice(self, node):
        return z3.If(*(self.term(a) for a in node.args)) if not node.type.optional else self._opaque(node)

    def _or(self, node):
        return z3.Or([self.term(a) for a in node.args])

    def _and(self, node):
        return z3.And([self.term(a) for a in node.args])

    def _not(self, node):
        return z3.Not(self.term(node.args[0]))

    def _compare(self, node):
        first, second = (self.term(a) for a in node.args)
        return {
            "==": lambda: first == second,
            "!=": lambda: first != second,
            "<": lambda: first < second,
            ">": lambda: first > second,
            "<=": lambda: first <= second,
            ">=": lambda: first >= second,
        }[node.value]()

    def _in(self, node):
        left = self.term(node.args[0])
        if node.value is not None:
            values = self.scope.sets[node.value]
            if len(values) > MAX_SET_VALUES:
                return self._opaque(node)
            terms = [string_value(v) if isinstance(v, str) else z3.RealVal(repr(v)) for v in sorted(values)]
            return z3.Or([left == term for term in terms])
        if node.args[1].kind != "list":
            return self._opaque(node)
        return z3.Or([left == self.term(a) for a in node.args[1].args])

    def _other(self, node):
        found = self.term(node.args[-1])
        for arg in reversed(node.args[:-1]):
            present, value = self.term(arg)
            found = (
                (z3.Or(present, found[0]), z3.If(present, value, found[1]))
                if isinstance(found, tuple)
                else z3.If(present, value, found)
            )
        return found

    def _sum(self, node):
        first, second = (self.term(a) for a in node.args)
        if node.type.kind == "text":
            return z3.Concat(first, second)
        return first + second if node.value == "+" else first - second


def string_value(text):
    """A z3 string literal; characters outside printable ASCII are escaped."""
    return z3.StringVal("".join(c if " " <= c < "\x7f" and c != "\\" else f"\\u{{{ord(c):x}}}" for c in text))


def inputs_of(tree, scope):
    """Identities of the names and headers that a tree reads, with its lets resolved."""
    found = set()
    for node in tree:
        if node.kind == "name" and node.value in scope.lets:
            found |= inputs_of(scope.lets[node.value], scope)
        elif node.kind == "name" or node.kind == "call" and node.value in ("header", "headers"):
            found.add(node.identity())
    return found


class Analysis:
    """`seconds` limits the time of all queries together."""

    def __init__(self, rules, seconds=20.0):
        self.rules, self.deadline = rules, time.monotonic() + seconds
        self.encoder = Encoder(rules.scope)
        self.terms = [self.encoder.term(rule.when) for rule in rules.rules]
        self.inputs = [inputs_of(rule.when, rules.scope) for rule in rules.rules]
        encoder = self.encoder
        digits = z3.Range("0", "9")
        phone_number = z3.Concat(z3.Option(z3.Re("+")), z3.Plus(digits))
        self.plausible = [
            z3.InRe(encoder.number, phone_number),
            z3.InRe(encoder.caller, phone_number),
            z3.Length(encoder.number) <= 16,
            z3.Length(encoder.caller) <= 16,
        ]

    def solve(self, terms, plausible=False):
        """Returns ('sat', an example call), ('unsat', None) or ('unknown', None)."""
        remaining_ms = int((self.deadline - time.monotonic()) * 1000)
        if remaining_ms <= 0:
            return "unknown", None
        solver = z3.Solver()
        solver.set("timeout", min(QUERY_TIMEOUT_MS, remaining_ms))
        solver.add(*self.encoder.constraints, *terms, *(self.plausible if plausible else ()))
        answer = str(solver.check())
        return answer, self._call(solver.model()) if answer == "sat" else None

    def _call(self, model):
        def text(term):
            return model.eval(term, model_completion=True).as_string()

        encoder = self.encoder
        headers = {
            name: text(value)
            for name, (present, value) in encoder.headers.items()
            if z3.is_true(model.eval(present, model_completion=True))
        }
        return {"number": text(encoder.number), "caller": text(encoder.caller), "headers": headers}

    def matching_rule(self, call):
        """The name of the rule that the compiled set selects for the call, or 'default'; '' if none matches; None if
        the message is malformed."""
        lines = [
            f"INVITE sip:{call['number']}@127.0.0.1 SIP/2.0",
            "Via: SIP/2.0/UDP 127.0.0.1;branch=z9hG4bKx",
            f"From: <sip:{call['caller']}@127.0.0.1>;tag=x",
            "To: <sip:x@127.0.0.1>",
            "Call-ID: x",
            "CSeq: 1 INVITE",
            *(f"{name}: {value}" for name, value in call["headers"].items()),
        ]
        try:
            message = m.parse("\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n")
            m.check(message)
            found = self.rules.classify(Facts(message))
        except SipError:
            return None
        return found.rule if found else ""

    def unreachable_rules(self):
        """Rules that match no call: their own tests contradict each other, or earlier rules match all their calls."""
        found = []
        for n, rule in enumerate(self.rules.rules):
            answer, _ = self.solve([self.terms[n]])
            if answer == "unsat":
                found.append(Finding("never", (rule.name,), "its tests contradict each other"))
                continue
            candidates = sorted(
                (e for e in range(n) if self.inputs[e] & self.inputs[n] or not self.inputs[e] or not self.inputs[n]),
                key=lambda e: -len(self.inputs[e] & self.inputs[n]),
            )[:MAX_EARLIER_RULES]
            before = [z3.Not(self.terms[e]) for e in candidates]
            answer, call = self.solve([self.terms[n], *before])
            if answer == "unsat":
                found.append(
                    Finding(
                        "never", (rule.name, *self._shadowing_rule(n, candidates)), "earlier rules match all its calls"
                    )
                )
            elif answer == "unknown":
                found.append(Finding("unknown", (rule.name,), "not decided in time whether any call can reach it"))
        return found

    def _shadowing_rule(self, n, candidates):
        """The single earlier rule that matches all calls of rule `n`, if there is one."""
        for e in candidates:
            if self.solve([self.terms[n], z3.Not(self.terms[e])])[0] == "unsat":
                return (self.rules.rules[e].name,)
        return ()

    def overlapping_rules(self):
        """Pairs of rules of one priority that match the same call, with an example; their order in the file decides."""
        found, rules = [], self.rules.rules
        for n, rule in enumerate(rules):
            for e in range(n):
                if rules[e].priority != rule.priority or not self.inputs[e] & self.inputs[n]:
                    continue
                if time.monotonic() > self.deadline:
                    return [*found, Finding("unknown", (), "the time limit was reached; not all pairs were checked")]
                answer, call = self.solve([self.terms[n], self.terms[e]], True)
                if answer == "sat":
                    if self.matching_rule(call) in (rules[e].name, *(r.name for r in rules[:e])):
                        found.append(Finding("both", (rules[e].name, rule.name), "one call matches both", call))
                elif answer == "unknown":
                    pair = (rules[e].name, rule.name)
                    found.append(Finding("unknown", pair, "not decided in time whether one call can match both"))
        return found

    def unmatched_calls(self):
        """A call that matches no rule, if the set has no default."""
        if self.rules.default is not None:
            return []
        answer, call = self.solve([z3.Not(t) for t in self.terms], True)
        if answer == "sat" and self.matching_rule(call) == "":
            return [Finding("none", (), "no rule matches this call, and there is no default", call)]
        if answer == "unsat":
            return []
        return [Finding("unknown", (), "not decided in time whether every call matches a rule")]

    def all(self):
        return [*self.unreachable_rules(), *self.unmatched_calls(), *self.overlapping_rules()]
