"""Questions that trying calls cannot answer: which rules can never match, which two of one priority both may, and
which calls match none. Answered by z3 over all texts, within a time limit; what it cannot tell in time is 'unknown'.

What the solver does not know (a hash, the time of day, a regular form, a URI's parts) stands as a free value, the same
wherever the same expression stands. So 'never' holds for sure; a call given as an example is tried on the rules first,
and one that does not do what it should is called unknown.
"""

import time
from typing import NamedTuple

import z3

from thorndale.match.facts import Facts
from thorndale.sip import message as m
from thorndale.sip.errors import SipError

QUESTION_MS = 400  # for one question
EARLIER_MOST = 40  # earlier rules that a rule is held against: leaving some out can only hide a 'never'
SET_MOST = 60  # values of a set that are written out for the solver; a larger one is a free yes/no


class Finding(NamedTuple):
    """`kind`: never, both, none, unknown. `rules` are the names concerned; `example` is a call: number, caller,
    headers."""

    kind: str
    rules: tuple
    text: str
    example: dict | None = None


class Encoder:
    """Trees to z3 terms. A value that may be absent is a pair (present, value)."""

    def __init__(self, scope):
        self.scope, self.free, self.headers, self.always = scope, {}, {}, []
        self.number, self.caller = z3.String("number"), z3.String("caller")

    def term(self, node):
        return getattr(self, f"_{node.kind}", self._opaque)(node)

    def _opaque(self, node):
        key = node.identity()
        if key not in self.free:
            name, kind = f"free{len(self.free)}", node.type.kind
            if kind == "text":
                made = z3.String(name)
            elif kind == "yes/no":
                made = z3.Bool(name)
            else:
                made = z3.Real(name)
                self.always.append(made >= 0)
            self.free[key] = (z3.Bool(name + "?"), made) if node.type.maybe else made
        return self.free[key]

    def _literal(self, node):
        if isinstance(node.value, bool):
            return z3.BoolVal(node.value)
        if isinstance(node.value, float):
            return z3.RealVal(repr(node.value))
        return text_value(node.value)

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
        return z3.If(*(self.term(a) for a in node.args)) if not node.type.maybe else self._opaque(node)

    def _or(self, node):
        return z3.Or([self.term(a) for a in node.args])

    def _and(self, node):
        return z3.And([self.term(a) for a in node.args])

    def _not(self, node):
        return z3.Not(self.term(node.args[0]))

    def _compare(self, node):
        one, two = (self.term(a) for a in node.args)
        return {
            "==": lambda: one == two,
            "!=": lambda: one != two,
            "<": lambda: one < two,
            ">": lambda: one > two,
            "<=": lambda: one <= two,
            ">=": lambda: one >= two,
        }[node.value]()

    def _in(self, node):
        left = self.term(node.args[0])
        if node.value is not None:
            values = self.scope.sets[node.value]
            if len(values) > SET_MOST:
                return self._opaque(node)
            terms = [text_value(v) if isinstance(v, str) else z3.RealVal(repr(v)) for v in sorted(values)]
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
        one, two = (self.term(a) for a in node.args)
        if node.type.kind == "text":
            return z3.Concat(one, two)
        return one + two if node.value == "+" else one - two


def text_value(text):
    """z3's string; signs outside of plain ASCII as escapes."""
    return z3.StringVal("".join(c if " " <= c < "\x7f" and c != "\\" else f"\\u{{{ord(c):x}}}" for c in text))


def words(tree, scope):
    """What a rule reads: names and headers, through its lets."""
    found = set()
    for node in tree:
        if node.kind == "name" and node.value in scope.lets:
            found |= words(scope.lets[node.value], scope)
        elif node.kind == "name" or node.kind == "call" and node.value in ("header", "headers"):
            found.add(node.identity())
    return found


class Analysis:
    """`seconds` for all questions together."""

    def __init__(self, rules, seconds=20.0):
        self.rules, self.end = rules, time.monotonic() + seconds
        self.encoder = Encoder(rules.scope)
        self.terms = [self.encoder.term(rule.when) for rule in rules.rules]
        self.words = [words(rule.when, rules.scope) for rule in rules.rules]
        encoder = self.encoder
        digits = z3.Range("0", "9")
        plain = z3.Concat(z3.Option(z3.Re("+")), z3.Plus(digits))
        self.usual = [
            z3.InRe(encoder.number, plain),
            z3.InRe(encoder.caller, plain),
            z3.Length(encoder.number) <= 16,
            z3.Length(encoder.caller) <= 16,
        ]

    def ask(self, terms, usual=False):
        """'sat' with a call, 'unsat', or 'unknown'."""
        left = int((self.end - time.monotonic()) * 1000)
        if left <= 0:
            return "unknown", None
        solver = z3.Solver()
        solver.set("timeout", min(QUESTION_MS, left))
        solver.add(*self.encoder.always, *terms, *(self.usual if usual else ()))
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

    def sorted_by(self, call):
        """The name of the rule that really sorts the call, 'default' or ''; None where it is no call."""
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
            found = self.rules.sort(Facts(message))
        except SipError:
            return None
        return found.rule if found else ""

    def never(self):
        """Rules that no call can reach: their own tests contradict each other, or earlier ones take all."""
        found = []
        for n, rule in enumerate(self.rules.rules):
            answer, _ = self.ask([self.terms[n]])
            if answer == "unsat":
                found.append(Finding("never", (rule.name,), "its tests contradict each other"))
                continue
            near = sorted(
                (e for e in range(n) if self.words[e] & self.words[n] or not self.words[e] or not self.words[n]),
                key=lambda e: -len(self.words[e] & self.words[n]),
            )[:EARLIER_MOST]
            before = [z3.Not(self.terms[e]) for e in near]
            answer, call = self.ask([self.terms[n], *before])
            if answer == "unsat":
                found.append(Finding("never", (rule.name, *self._cause(n, near)), "rules before it take all its calls"))
            elif answer == "unknown":
                found.append(Finding("unknown", (rule.name,), "not told in time whether any call can reach it"))
        return found

    def _cause(self, n, near):
        """The one earlier rule that takes all, where it is one."""
        for e in near:
            if self.ask([self.terms[n], z3.Not(self.terms[e])])[0] == "unsat":
                return (self.rules.rules[e].name,)
        return ()

    def both(self):
        """Pairs of one priority that one call fits, with such a call: their order in the file decides."""
        found, rules = [], self.rules.rules
        for n, rule in enumerate(rules):
            for e in range(n):
                if rules[e].priority != rule.priority or not self.words[e] & self.words[n]:
                    continue
                if time.monotonic() > self.end:
                    return [*found, Finding("unknown", (), "the time is over; not all pairs were asked")]
                answer, call = self.ask([self.terms[n], self.terms[e]], True)
                if answer == "sat":
                    if self.sorted_by(call) in (rules[e].name, *(r.name for r in rules[:e])):
                        found.append(Finding("both", (rules[e].name, rule.name), "one call fits both", call))
                elif answer == "unknown":
                    pair = (rules[e].name, rule.name)
                    found.append(Finding("unknown", pair, "not told in time whether both may fit"))
        return found

    def none(self):
        """A call that no rule takes, where there is no default."""
        if self.rules.default is not None:
            return []
        answer, call = self.ask([z3.Not(t) for t in self.terms], True)
        if answer == "sat" and self.sorted_by(call) == "":
            return [Finding("none", (), "no rule fits this call, and there is no default", call)]
        if answer == "unsat":
            return []
        return [Finding("unknown", (), "not told in time whether every call is taken")]

    def all(self):
        return [*self.never(), *self.none(), *self.both()]
