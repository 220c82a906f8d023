"""Rule sets: order of rules, indexed look-up against sequential evaluation, errors of whole files, and edge cases."""

import random

import pytest
from match.test_expressions import facts

from thorndale.call.forwarding import header_safe_text
from thorndale.match.errors import MatchError
from thorndale.match.rules import AllowedNames, Outcome, RuleSet, interpret_rules, load

NAMES = AllowedNames(("timetable", "leaving-soon"), ("a", "b", "c"), ("coaches",))


def matching_rule(source, given):
    result = load(source).classify(given)
    return result.rule if result else None


def test_priority_then_position():
    source = """rule "low" { when yes type t }  rule "first" { priority 3 when prefix(number, "+221") type t }
                rule "second" { priority 3 when prefix(number, "+22133") type t }"""
    assert matching_rule(source, facts()) == "first" and matching_rule(source, facts(number="+33")) == "low"
    assert matching_rule('rule "x" { when no type t }', facts()) is None
    assert matching_rule('rule "x" { when no type t } default { type d }', facts()) == "default"


def test_two_rules_equal_but_for_the_order_of_their_parts():
    one = 'rule "{}" {{ when prefix(number, "+221") and length(caller) > 3 and caller != "x" type t }}'
    two = 'rule "{}" {{ when caller != "x" and length(caller) > 3 and prefix(number, "+221") type t }}'
    for first, second in ((one, two), (two, one)):
        assert matching_rule(first.format("p") + second.format("q"), facts()) == "p"


def test_prefixes_that_cover_each_other_and_ten_thousand_of_them():
    rules = "".join(
        f'rule "r{n}" {{ priority {len(str(n))} when prefix(number, "+{n}") type t group "g{n}" }}\n'
        for n in range(1, 10_001)
    )
    rule_set = load(rules)
    for number, group in (("+22133", "g2213"), ("+9", "g9"), ("+99", "g99"), ("+100009", "g10000"), ("+0", None)):
        result = rule_set.classify(facts(number=number))
        assert (result.group if result else None) == group
    assert len(rule_set.candidates(facts(number="+22133000111"))) == 4


def test_outcomes():
    source = """rule "all" { when yes type timetable share by caller [a: 3, b] client coaches key "k" + number class gold
                header "X-One" = lower(caller) + "!" header "X-Two" = header("X-None") ?? "none" }"""
    result = load(source, NAMES).classify(facts())
    assert result == Outcome(
        "all",
        "timetable",
        result.group,
        "coaches",
        "k+22133000111",
        "gold",
        (("X-One", "+221771234567!"), ("X-Two", "none")),
    )
    rule_set = load(source, NAMES)
    groups = [rule_set.classify(facts(caller=f"+22177{n:07d}")).group for n in range(2_000)]
    assert 0.70 < groups.count("a") / len(groups) < 0.80
    assert header_safe_text(" a\r\nVia: x\0 ") == "a  Via: x"


INVALID_RULES = """set s = ["a", 5]
set s = ["b"]
set prefix = ["c"]
table t = {"+1": "x", "+1": "y"}
let a = a + "x"
let b = c
let c = "x"
let ok = header("X") ?? ""
rule "one" { when prefx(number, "+") type timetable }
rule "one" { when number == 5 type timetabel group d }
rule "two" { type timetable }
rule "three" { when yes }
rule "four" { when "x" type timetable priority 1.5 priority 2 group a share by caller [b: 0, b] client coches }
rule "five" { when yes type timetable header "Via" = "x" header "X Y" = 5 key header("K") }
rule "six" { when ok == b and like(number, "(") type timetable }
default { type timetable when yes }
default { type nothing }
"""


def test_all_errors_of_a_file_at_once_by_line_and_column():
    with pytest.raises(MatchError) as caught:
        load(INVALID_RULES, NAMES, "day.rules")
    result = [(f.line, f.text) for f in caught.value.diagnostics]
    for line, text in (
        (1, "values of one type"),
        (2, "already defined at line 1"),
        (3, "name of the language"),
        (4, "twice"),
        (5, "refers to itself"),
        (6, "unknown name 'c'"),
        (9, "'prefix' is meant"),
        (10, "already defined at line 9"),
        (10, "to-number"),
        (10, "'timetable' is meant"),
        (10, "unknown trunk group 'd'"),
        (11, "no 'when'"),
        (12, "no 'type'"),
        (13, "should be yes/no"),
        (13, "whole number up to"),
        (13, "priority is already given"),
        (13, "group or share is already given"),
        (13, "from 1 to"),
        (13, "already has a share"),
        (13, "'coaches' is meant"),
        (14, "is not a header that a rule may set"),
        (14, "a header's value should be text"),
        (14, "a key should"),
        (15, "has no ')'"),
        (16, "cannot have a 'when'"),
        (17, "already defined at line 16"),
        (17, "unknown call type"),
    ):
        assert any(line == at and text in reported for at, reported in result), (line, text, result)
    assert str(caught.value).startswith("day.rules:1:")


def test_a_file_truncated_anywhere_is_rejected_or_whole():
    source = open("examples/proxy.rules", encoding="utf-8").read()
    whole = load(source)
    assert len(whole.rules) == 3
    shorter_sets = 0
    for end in range(len(source)):
        try:
            rule_set = load(source[:end])
        except MatchError as bad:
            assert bad.diagnostics
            continue
        shorter_sets += len(rule_set.rules) < 3
    assert shorter_sets > 0  # truncation between two rules is not detectable from the text alone; docs/rules.md says so


def random_rules(rng, count):
    """A rule set with indexable and non-indexable rules."""
    tests = [
        'prefix(number, "+{d}")',
        'prefix(number, "+22{d}")',
        'caller == "+22177{d}"',
        'station == "s{d}"',
        'station in ["s{d}", "s1"]',
        "length(caller) > {d}",
        '(header("X") ?? "") == "v{d}"',
        'suffix(number, "{d}")',
        "hash(caller, 10) == {d}",
        'prefix(caller, "+2217{d}")',
        "number in some",
        'not (station == "s{d}")',
    ]
    out = ['let station = header("X-Station") ?? "none"', 'set some = ["+221330001", "+3", "+22"]']
    for n in range(count):
        condition = " and ".join(rng.choice(tests).format(d=rng.randrange(10)) for _ in range(rng.randrange(1, 4)))
        if rng.random() < 0.2:
            condition = f'({condition}) or station == "s{rng.randrange(10)}"'
        out.append(f'rule "r{n}" {{ priority {rng.randrange(4)} when {condition} type t }}')
    return "\n".join(out)


def test_indexed_and_sequential_evaluation_agree():
    rng, compared = random.Random(3), 0
    for _ in range(25):
        rule_set = load(random_rules(rng, 60))
        for _ in range(60):
            extra = "".join(
                f"{n}: {v}{rng.randrange(10)}\r\n" for n, v in (("X-Station", "s"), ("X", "v")) if rng.random() < 0.7
            )
            given = facts(
                extra,
                number=f"+{rng.choice(['22', '2', '3', ''])}{rng.randrange(10_000)}",
                caller=f"+2217{rng.randrange(100)}",
            )
            expected, steps = interpret_rules(rule_set, given)
            given.slots = {}
            assert rule_set.classify(given) == expected and rule_set.evaluation_errors == 0
            assert steps <= rule_set.bound()
            compared += 1
    assert compared == 1500


def test_an_error_at_run_time_takes_the_default_and_is_counted():
    rule_set = load('rule "x" { when length(caller) > 3 type t } default { type d }')

    def raise_error(facts):
        raise ZeroDivisionError("a defect in the checker")

    rule_set.residuals[0] = raise_error
    assert (
        rule_set.classify(facts()).rule == "default"
        and rule_set.evaluation_errors == 1
        and "defect" in rule_set.last_error
    )


def test_explain_reports_each_value():
    rule_set = load(
        'rule "no" { when prefix(number, "+1") type t } rule "yes" { when station == "x" type t }'.replace(
            "station", '(header("X-Station") ?? "none")'
        )
    )
    evaluated, outcome = rule_set.explain(facts("X-Station: x\r\n"))
    assert [fits for _, fits, _ in evaluated] == [False, True] and outcome.rule == "yes"
    assert any(value == "x" for _, _, _, value in evaluated[1][2])
    assert isinstance(rule_set, RuleSet)


def test_a_set_that_refers_to_itself():
    for source in ("set a = [a]", 'set a = ["x", b]\nset b = ["y"]', "let a = b\nlet b = a"):
        with pytest.raises(MatchError):
            load(source + "\ndefault { type t }")


def test_bounds_on_a_file():
    for source, text in (("#" * (9 << 20), "longer than"), ("(" * 100, "deeper than 60")):
        with pytest.raises(MatchError, match=text):
            load(source)
    with pytest.raises(MatchError, match="20001 rules"):
        load("\n".join(f'rule "{n}" {{ when yes type t }}' for n in range(20_001)))


def test_stored_tables_match_grammar_and_lark_version():
    from thorndale.match.parse import parser_builder

    _, fingerprint = parser_builder()
    with open("thorndale/match/grammar.tables", "rb") as file:
        assert file.read().startswith(fingerprint), "run python -m thorndale.match.tables"
