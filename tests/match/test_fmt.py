"""The formatter: it preserves the tree, is idempotent and loses no comment."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from match.test_expressions import EXPRESSIONS, GOOD
from match.test_rule_sets import random_rules

from thorndale.match.errors import MatchError
from thorndale.match.fmt import comments, format_source, structure
from thorndale.match.parse import read


def assert_round_trip(source):
    text = format_source(source)
    assert structure(read(text)) == structure(read(source)) and format_source(text) == text
    assert sorted(c[1] for c in comments(text)) == sorted(c[1] for c in comments(source))
    return text


def test_example_file_is_in_canonical_layout():
    source = open("examples/proxy.rules", encoding="utf-8").read()
    assert assert_round_trip(source) == source


def test_comments_everywhere():
    text = assert_round_trip("""# first
set a = ["x" , "y"]   # beside a set
# above a let
let b=header( "#no" )??"none"
rule "r"{ # beside the head
 # inside
 when b=="x"and not(yes or no)  # beside when
 type t
 # last inside
}
default{type t}# beside the end
# at the end
""")
    assert 'let b = header("#no") ?? "none"' in text and 'when b == "x" and not (yes or no)' in text


def test_long_lists_are_broken():
    values = ", ".join(f'"+2217700{n:05d}"' for n in range(20))
    assert assert_round_trip(f'set v = [{values}]\ntable t = {{"a": "b"}}').count("\n") > 20


@settings(max_examples=300, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck))
@given(EXPRESSIONS)
def any_expression(text):
    assert_round_trip(f'rule "x" {{ when {text} type t }}')


def test_generated_and_given_expressions():
    any_expression()
    for text, _ in GOOD:
        assert_round_trip(f"let x = {text}")
    for n in range(5):
        assert_round_trip(random_rules(random.Random(n), 40))


def test_invalid_rule_set_is_rejected():
    with pytest.raises(MatchError):
        format_source("rule {")
