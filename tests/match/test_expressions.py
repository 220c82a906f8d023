"""The expression language: the error message of each bad expression, the value of each good one, and that no evaluation
exceeds its proven bound."""

import statistics

import pytest
from call.rig import Rig
from hypothesis import HealthCheck, given, settings, target
from hypothesis import strategies as st

from thorndale.match.check import Checker, Scope, Table
from thorndale.match.compile import Compiler
from thorndale.match.errors import MatchError
from thorndale.match.facts import Facts
from thorndale.match.functions import FUNCTIONS
from thorndale.match.interpreter import Interpreter
from thorndale.match.parse import parse_expression
from thorndale.sip import message as m

RIG = Rig()
MOMENT = 1_793_496_600_000_000  # 2026-11-01 01:30 UTC


def scope():
    names = Scope()
    names.sets["vip"], names.sets["marks"] = frozenset(["+221771234567", "b"]), frozenset([1.0, 2.0])
    names.tables["stations"] = Table({"+22133": "thies", "+221": "dakar", "+221331": "thies-1"}, (7, 6, 4))
    for name, text in (("station", 'header("X-Station") ?? "none"'), ("line", "caller + number")):
        names.lets[name] = parse_expression(text)
        assert Checker(names).check(names.lets[name])
    return names


def facts(extra="", number="+22133000111", wall_us=MOMENT, **overrides):
    return Facts(
        m.parse(RIG.invite(number=number, extra=extra, **overrides).encode("utf-8", "surrogateescape")), wall_us
    )


def checked(text, max_steps=50_000):
    names, tree = scope(), parse_expression(text)
    checker = Checker(names, max_steps)
    if not checker.check(tree):
        raise MatchError(checker.diagnostics, text)
    return names, tree


def evaluate_both(text, call):
    """The value by the interpreter and by the compiled function, which must agree."""
    names, tree = checked(text)
    expected = Interpreter(names, call).value(tree)
    call.slots = {}
    assert Compiler(names, [tree]).function(tree)(call) == expected
    return expected


GOOD = [
    ('prefix(number, "+221")', True),
    ('suffix(number, "111")', True),
    ('contains(caller, "77")', True),
    ("length(number)", 12.0),
    ('lower("AbC")', "abc"),
    ('header("X-Station") ?? "none"', "Thies"),
    ('header("x-station") ?? "none"', "Thies"),
    ('header("X-None") ?? "none"', "none"),
    ('present(header("X-None"))', False),
    ('count(headers("X-Many"))', 3.0),
    ('at(headers("X-Many"), 2) ?? ""', "two"),
    ('at(headers("X-Many"), 9) ?? ""', ""),
    ('at(headers("X-Many"), 0) ?? ""', ""),
    ('"two" in headers("X-Many")', True),
    ('number in ["a", "+22133000111"]', True),
    ("caller in vip", True),
    ('to-number("12.5") ?? 0', 12.5),
    ('to-number("x") ?? 7', 7.0),
    ("hash(caller, 1)", 1.0),
    ("hash(caller, 4) <= 4", True),
    ('e164("033 1234", "221") ?? ""', "+221331234"),
    ('e164("00221-33", "221") ?? ""', "+22133"),
    ('e164("x", "221") ?? "no"', "no"),
    ('longest(number, stations) ?? ""', "thies"),
    ('longest("+2213310", stations) ?? ""', "thies-1"),
    ('longest("+3", stations) ?? "none"', "none"),
    ('time("Africa/Dakar")', 5400.0),
    ('time("Africa/Dakar") >= 1h + 30m', True),
    ('weekday("Africa/Dakar")', 7.0),
    ("uri.user", "+22133000111"),
    ("uri.host", "127.0.0.1"),
    ("uri.port", 5060.0),
    ('uri.group ?? "none"', "none"),
    ("(caller-uri ?? uri).user", "+221771234567"),
    ("transport", "udp"),
    ('if prefix(number, "+") then 1 else 2', 1.0),
    ("not (1 < 2) or 2 >= 2 and yes", True),
    ("1 + 2 - 4", -1.0),
    ('"a" + "b" == "ab"', True),
    ("500ms + 1s == 1.5s", True),
    ("1m < 1h", True),
    ('station == "Thies"', True),
    ("length(line) > 5", True),
    (r'like(number, "\\+221(33|77)\\d+")', True),
    (r'like(number, "(a*)*b")', False),
    ('(to-uri(header("X-Uri") ?? "") ?? uri).host', "10.0.0.1"),
    ('(header("X-None") ?? header("X-Station")) ?? ""', "Thies"),
    ('"\\u" != "u" or yes', True),
    ("hash(number, 3) in marks or hash(number, 3) == 3", True),
]


@pytest.mark.parametrize("text, value", GOOD)
def test_values(text, value):
    extra = "X-Station: Thies\r\nX-Many: one\r\nX-Many: two\r\nX-Many: three\r\nX-Uri: <sip:q@10.0.0.1>\r\n"
    assert evaluate_both(text, facts(extra)) == value


def test_every_function_has_an_example_that_holds():
    for name, function in FUNCTIONS.items():
        assert name in function.example and function.description
        evaluate_both(function.example, facts())


BAD = {  # expression: part of its error message
    "": "truncated",
    "1 +": "truncated",
    "(1": "truncated",
    "1)": "unexpected",
    "1 2": "unexpected",
    "and": "unexpected",
    "== 1": "unexpected",
    "1 == == 2": "unexpected",
    '"open': "closing quote",
    "'x'": "unexpected",
    "a b": "unexpected",
    "number.": "truncated",
    "f(": "truncated",
    "[1,": "truncated",
    "if yes then 1": "truncated",
    "if yes 1": "unexpected",
    "?? 1": "unexpected",
    "number ??": "truncated",
    "1 < 2 < 3": "unexpected",
    "5 in": "truncated",
    "5 in 6": "should be text",
    "not": "truncated",
    "$x": "unexpected",
    "1..2": "unexpected",
    "5d": "unexpected",
    "yes no": "unexpected",
    "prefix number": "unexpected",
    "then": "unexpected",
    "numbr": "'number' is meant",
    'calller == "x"': "'caller' is meant",
    "statoin": "'station' is meant",
    "whatever": "known are",
    'prefx(number, "a")': "'prefix' is meant",
    'exec("x")': "unknown function",
    '__import__("os")': "unknown function",
    "number.user": "only a URI has parts",
    "uri.usr": "'user' is meant",
    "uri.secret": "unknown part",
    "caller-uri.user": "may be absent",
    "(1).user": "only a URI",
    "vip": "is a set",
    "stations": "is a table",
    '1 == "1"': "without, or use to-number",
    "number == 221": "to-number",
    "number < 5": "to-number",
    'number < "b"': "has no order",
    "yes < no": "has no order",
    "yes == 1": "should be yes/no",
    "1s == 1": "should be span",
    "1s + 1": "joins two",
    '"a" + 1': "joins two",
    '"a" - "b"': "cannot be subtracted",
    "yes + no": "joins two",
    "uri == uri": "cannot be compared",
    'headers("A") == headers("A")': "cannot be compared",
    'header("A") == "x"': "may be absent",
    '"x" == header("A")': "may be absent",
    'header("A") + "x"': "joins two",
    'prefix(header("A"), "x")': "??",
    'number ?? "x"': "always present",
    'header("A") ?? 5': "must have the same type",
    "present(number)": "always present",
    "not number": "should be yes/no",
    "number and yes": "should be yes/no",
    "1 or yes": "should be yes/no",
    "if 1 then 2 else 3": "the condition",
    'if yes then 1 else "a"': "must have the same type",
    "prefix(number)": "takes 2 values, has 1",
    'prefix(number, "a", "b")': "takes 2 values, has 3",
    "length()": "takes 1",
    "prefix(number, 5)": "should be text",
    "length(5)": "should be text",
    "lower(yes)": "should be text",
    "count(number)": "should be list",
    "at(number, 1)": "should be list",
    'at(headers("A"), "1")': "should be number",
    'hash(number, "4")': "should be number",
    "hash(number, 0)": "1 to",
    "hash(number, 2.5)": "whole number",
    "hash(number, 9999999)": "1 to",
    "hash(number, length(number))": "must be a literal",
    "header(number)": "must be a literal",
    "headers(caller)": "must be a literal",
    'header("a b")': "is not a header name",
    'header("")': "is not a header name",
    'time("Dakar")': "is not a time zone",
    'weekday("")': "is not a time zone",
    "time(number)": "must be a literal",
    "time(5)": "should be text",
    'weekday("../etc")': "is not a time zone",
    'e164(number, "xx")': "is not a country code",
    'e164(number, "0")': "is not a country code",
    "e164(number, caller)": "must be a literal",
    "longest(number, vip)": "must be the name of a table",
    'longest(number, "a")': "must be the name of a table",
    "longest(number, nowhere)": "must be the name of a table",
    "longest(5, stations)": "should be text",
    "number in nobody": "unknown set",
    "number in vp": "'vip' is meant",
    "number in stations": "unknown set",
    "5 in vip": "should be text",
    "number in marks": "should be number",
    '5 in ["a"]': "should be text",
    "number in [1, 2]": "a list's value",
    'number in [header("A")]': "a list's value",
    'header("A") in vip': "??",
    "number in (caller)": "unknown set",
    "like(number, caller)": "must be a literal",
    'like(number, "(")': "has no ')'",
    'like(number, ")")': "has no '('",
    'like(number, "[a")': "has no ']'",
    'like(number, "*a")': "nothing to repeat before",
    'like(number, "a|*")': "nothing to repeat",
    'like(number, "a\\\\")': "after",
    'like(number, "[z-a]")': "reversed",
    'like(number, "(a|b)*a' + "(a|b)" * 12 + '")': "states",
    'like(number, "' + "a" * 400 + '")': "longer than 300",
    'like(number, "' + "(" * 31 + ")" * 31 + '")': "deeper than 30",
    'like(5, "a")': "should be text",
    "contains(caller, number)": "must be a literal",
    "to-number(5)": "should be text",
    "to-uri(uri)": "should be text",
    "to-uri(number).host": "may be absent",
    "(uri ?? uri).host": "always present",
    "(" * 70 + "1" + ")" * 70: "deeper than 60",
    "[" * 70 + "]" * 70: "deeper than 60",
    "1 == yes": "should be number",
    "[1] == [1]": "a list's value",
    "length(uri)": "should be text",
    'lower(headers("A"))': "should be text",
    "transport == udp": "unknown name",
    'transport = "udp"': "unexpected",
    'number =~ "a"': "unexpected",
    "number && caller": "unexpected",
    "!yes": "unexpected",
    "a ? b : c": "unexpected",
    "number; caller": "unexpected",
    "number[0]": "unexpected",
    '"a" "b"': "unexpected",
    "{}": "unexpected",
    "let x = 1": "unexpected",
    "5 == 5.5.5": "unexpected",
    "1 == 2 and": "truncated",
    "number in vip in vip": "unexpected",
    "not in vip": "unexpected",
    'prefix(, "a")': "unexpected",
    "f(1,)": "unexpected",
    "number.user.host": "only a URI",
    'header("A").user': "only a URI",
    '(header("A") ?? "").user': "only a URI",
    'length(header("A"))': "??",
    'hash(header("A"), 4)': "??",
    'lower(header("A") ?? 4)': "must have the same type",
    'at(headers("A"), 1) == "x"': "may be absent",
    "to-number(number) > 5": "may be absent",
    'longest(number, stations) == "a"': "may be absent",
    'e164(number, "221") == "a"': "may be absent",
    'uri.group == "a"': "may be absent",
    'uri.context + "a"': "joins two",
    'time("Africa/Dakar") > 8': "should be span",
    'time("Africa/Dakar") + 8': "joins two",
    'weekday("Africa/Dakar") == 8h': "should be number",
    "1h > 5": "should be span",
    "length(number) == 1s": "should be number",
    'if header("A") == "x" then 1 else 2': "may be absent",
    'present(header("A")) == 1': "should be yes/no",
    'count(headers("A") ?? [])': "always present",
    "yes ?? no": "always present",
    '"a" in 5': "a list or a set",
    '"a" in uri': "unknown set",
    "0x10": "unexpected",
    "1e5": "unexpected",
    "1,5 == 1": "unexpected",
    '"\\': "closing quote",
}


@pytest.mark.parametrize("text", BAD)
def test_bad_expressions(text):
    with pytest.raises(MatchError) as caught:
        checked(text)
    assert BAD[text] in str(caught.value), str(caught.value)
    assert caught.value.diagnostics[0].line == 1 and caught.value.diagnostics[0].column >= 1


def test_list_of_bad_expressions_is_large():
    assert len(BAD) >= 150 and len(set(BAD)) == len(BAD)


def test_an_error_shows_its_line_and_a_caret():
    with pytest.raises(MatchError) as caught:
        checked('prefix(number, "+221") and\n  caller == 5')
    assert str(caught.value).split("\n")[1:] == ["      caller == 5", "                ^"]


def test_limits_on_text_size_and_steps():
    names = scope()
    names.lets["d0"] = parse_expression('header("X") ?? ""')
    assert Checker(names).check(names.lets["d0"])
    for n in range(1, 4):
        names.lets[f"d{n}"] = parse_expression(f"d{n - 1} + d{n - 1}")
        checker = Checker(names)
        if not checker.check(names.lets[f"d{n}"]):
            break
    assert n == 3 and "grows to" in checker.diagnostics[0].text
    with pytest.raises(MatchError, match="steps"):
        checked(" and ".join(f'like(header("H{n}") ?? "", "a*b")' for n in range(3)))


ODD_HEADERS = [
    "X: " + "a" * 8000 + "\r\n",
    "X: one\r\nx: two\r\n",
    "X:\r\n folded\r\n",
    'X: "a\\"b, c"\r\n',
    "X: \udcff\udc80\r\n",
    "X:\r\n",
    "s: compact\r\n",
    'X: "no end\r\n',
]


@pytest.mark.parametrize("extra", ODD_HEADERS)
def test_odd_headers(extra):
    call = facts(extra)
    for text in (
        'header("X") ?? "none"',
        'length(header("X") ?? "")',
        'count(headers("X"))',
        'header("Subject") ?? ""',
        'hash(header("X") ?? "", 7)',
        'lower(header("X") ?? "")',
        'present(to-uri(header("X") ?? ""))',
    ):
        evaluate_both(text, call)


def test_the_hour_that_a_clock_change_repeats():
    for wall, hour in ((1_792_886_400, 2.0), (1_792_890_000, 2.0), (1_792_893_600, 3.0)):  # 2026-10-25, Europe/Paris
        seconds = evaluate_both('time("Europe/Paris")', facts(wall_us=wall * 1_000_000))
        assert seconds // 3600 == hour


# ---- generated expressions and messages ----

TEXTS = st.sampled_from(
    [
        "number",
        "caller",
        '"+221"',
        '"a"',
        "station",
        "line",
        "lower(caller)",
        "uri.user",
        "uri.host",
        '(header("X") ?? "q")',
        '(at(headers("X"), 2) ?? "r")',
        '(longest(number, stations) ?? "s")',
        '(e164(number, "221") ?? caller)',
        '(uri.group ?? "g")',
        "transport",
        '(caller + "x")',
    ]
)
NUMBERS = st.sampled_from(
    [
        "1",
        "2.5",
        "length(number)",
        "hash(caller, 5)",
        'count(headers("X"))',
        "uri.port",
        '(to-number(header("N") ?? "") ?? 3)',
        'weekday("Africa/Dakar")',
        "(length(caller) - 4)",
    ]
)
SPANS = st.sampled_from(["8h", "90s", 'time("Africa/Dakar")', '(time("Europe/Paris") + 1h)'])
TESTS = st.one_of(
    st.builds("prefix({}, {})".format, TEXTS, TEXTS),
    st.builds("suffix({}, {})".format, TEXTS, TEXTS),
    st.builds("{} {} {}".format, TEXTS, st.sampled_from(["==", "!="]), TEXTS),
    st.builds("{} {} {}".format, NUMBERS, st.sampled_from(["==", "!=", "<", ">", "<=", ">="]), NUMBERS),
    st.builds("{} {} {}".format, SPANS, st.sampled_from(["<", ">=", "=="]), SPANS),
    st.builds("{} in vip".format, TEXTS),
    st.builds("{} in marks".format, NUMBERS),
    st.builds('{} in ["a", "+221", {}]'.format, TEXTS, TEXTS),
    st.builds('{} in headers("X")'.format, TEXTS),
    st.builds(r'like({}, "\\+?(2|3)*1.*")'.format, TEXTS),
    st.builds('contains({}, "77")'.format, TEXTS),
    st.just('present(header("X"))'),
    st.just("yes"),
)
EXPRESSIONS = st.recursive(
    TESTS,
    lambda inner: st.one_of(
        st.builds("({} and {})".format, inner, inner),
        st.builds("({} or {})".format, inner, inner),
        st.builds("not ({})".format, inner),
        st.builds("(if {} then {} else {})".format, inner, inner, inner),
    ),
    max_leaves=6,
)
VALUES = ["", "a", "+221", "+22133000111", "77", "é", "x" * 300, "<sip:a@1.2.3.4>", "12", "thies", '"q"']
MESSAGES = [
    (number, caller, [(name, value) for name, value in header_fields])
    for number in ("+22133000111", "33", "0771", "+3")
    for caller in ("+221771234567", "b", "221")
    for header_fields in [
        [],
        *[[("X", v)] for v in VALUES[:8]],
        *[[("X", v), ("X", w), ("N", w)] for v in VALUES[:4] for w in VALUES[5:9]],
    ]
]
ratios = []


@settings(max_examples=700, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck))
@given(EXPRESSIONS)
def check_agreement_and_bound(text):
    """Evaluates one expression on all calls both ways and compares the highest step count with its bound."""
    names, tree = checked(text, 10_000_000)
    run, max_steps_seen = Compiler(names, [tree]).function(tree), 0
    for call in CALLS:
        call.slots = {}
        interpreter = Interpreter(names, call)
        assert interpreter.value(tree) == run(call), text
        max_steps_seen = max(max_steps_seen, interpreter.steps)
    for call in EXPENSIVE_CALLS:
        interpreter = Interpreter(names, call)
        interpreter.value(tree)
        max_steps_seen = max(max_steps_seen, interpreter.steps)
        assert interpreter.steps <= tree.bound, (text, interpreter.steps, tree.bound)
    comparisons[0] += len(CALLS)
    ratios.append(tree.bound / max_steps_seen)


CALLS = [
    facts("".join(f"{n}: {v}\r\n" for n, v in header_fields), number=number, caller=caller)
    for number, caller, header_fields in MESSAGES
]
EXPENSIVE_CALLS = [
    facts("X: q\r\n" * 230 + "X: " + "9" * 7_000 + "\r\n", number="+" + "221" * 5),
    facts("X: " + "9" * 14_000 + "\r\nN: " + "1" * 18 + "\r\n"),
    facts("X: " + "a," * 3_500 + "\r\n", number="+" + "2-" * 1000 + "1"),
    facts("X: x\r\nX: " + "+221" * 300 + "\r\n", caller="+" + "1" * 3_000, number="2" * 3000),
    facts("X: " + "221" * 600 + "\r\n", caller="77" * 3000),
    facts("".join(f"A{n}: 1\r\n" for n in range(240))),
]
comparisons = [0]


def test_compiled_and_interpreted_agree_and_no_bound_is_exceeded():
    check_agreement_and_bound()
    assert comparisons[0] >= 200_000 and len(ratios) > 500
    assert statistics.median(ratios) <= 10, statistics.median(ratios)


@settings(max_examples=600, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck))
@given(
    EXPRESSIONS,
    st.integers(1, 2_000),
    st.integers(1, 2_000),
    st.integers(0, 200),
    st.integers(0, 7_000),
    st.sampled_from(["9", "a", "+221", "2-", "q"]),
    st.sampled_from(["221", "7", "2-"]),
)
def search_costly_message(text, number, caller, count, length, unit, digit):
    """Searches for the message on which an expression takes the most steps, guided towards its bound."""
    names, tree = checked(text, 10_000_000)
    call = facts(
        "X: q\r\n" * count + "X: " + (unit * length)[:length] + "\r\nN: 12\r\n",
        number="+" + (digit * number)[:number],
        caller="+" + (digit * caller)[:caller],
    )
    interpreter = Interpreter(names, call)
    interpreter.value(tree)
    target(interpreter.steps / tree.bound)
    assert interpreter.steps <= tree.bound, (text, interpreter.steps, tree.bound)


def test_no_message_found_exceeds_a_bound():
    search_costly_message()
