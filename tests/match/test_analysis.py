"""The solver-based analysis: rules that can never match, rules that overlap, calls that match no rule."""

import pytest

from thorndale.match.analysis import Analysis
from thorndale.match.rules import load


def findings(source, seconds=20.0):
    return [(f.kind, *f.rules) for f in Analysis(load(source), seconds).all()]


@pytest.mark.parametrize(
    "source, expected",
    [
        (
            'rule "a" { when prefix(number, "+22") type t } rule "b" { when prefix(number, "+221") type t } default { type t }',
            ("never", "b", "a"),
        ),
        ('rule "a" { when prefix(number, "+1") and prefix(number, "+2") type t } default { type t }', ("never", "a")),
        ('rule "a" { when length(number) > 5 and length(number) < 3 type t } default { type t }', ("never", "a")),
        (
            'let s = header("X") ?? "none" rule "a" { when s == "none" type t } rule "b" { when not present(header("X")) type t } '
            "default { type t }",
            ("never", "b", "a"),
        ),
        (
            'rule "a" { when caller in ["1", "2"] type t } rule "b" { when caller == "2" type t } default { type t }',
            ("never", "b", "a"),
        ),
        (
            'rule "a" { when prefix(number, "+1") type t } rule "b" { when not prefix(number, "+1") type t } '
            'rule "c" { when yes type t }',
            ("never", "c"),
        ),
        (
            'rule "a" { when prefix(number, "+1") type t } rule "b" { when suffix(number, "9") type t } default { type t }',
            ("both", "a", "b"),
        ),
        (
            'rule "a" { when hash(caller, 4) == 2 type t } rule "b" { when hash(caller, 4) == 2 and yes type t } default { type t }',
            ("never", "b", "a"),
        ),
    ],
)
def test_findings(source, expected):
    assert expected in findings(source)


def test_unmatched_calls_have_an_example():
    rule_set = load('rule "a" { when prefix(number, "+2") type t }')
    found = Analysis(rule_set).unmatched_calls()
    assert found[0].kind == "none" and not found[0].example["number"].startswith("+2")
    assert Analysis(load('rule "a" { when yes type t }')).unmatched_calls() == []


def test_valid_rule_sets_have_no_findings():
    assert (
        findings(
            'rule "a" { when prefix(number, "+1") type t } rule "b" { when prefix(number, "+2") type t } '
            "default { type t }"
        )
        == []
    )
    assert not [f for f in findings(open("examples/proxy.rules", encoding="utf-8").read()) if f[0] == "never"]


def test_undecided_questions_are_reported_as_unknown():
    found = findings('rule "a" { when prefix(number, "+1") type t } rule "b" { when yes type t }', seconds=0)
    assert found and {f[0] for f in found} == {"unknown"}
