"""Sets and tables from files: CSV and YAML give the same result; every malformed file is rejected with its row."""

import pytest
from match.test_expressions import facts

from thorndale.config.lists import ListError, make_list_reader
from thorndale.match.errors import MatchError
from thorndale.match.rules import load

RULES = (
    'set vip from "vip.{0}"\ntable stations from "stations.{0}"\nrule "v" {{ when caller in vip type v }}\n'
    'rule "s" {{ when (longest(number, stations) ?? "none") == "thies" type s }}\ndefault {{ type d }}'
)
FILES = {
    "vip.csv": "+221770000001\n+221770000002\n",
    "stations.csv": "\ufeffx;y\n+22133;thies\n# more\n+221;dakar\n",
    "vip.yaml": '- "+221770000001"\n- "+221770000002"\n',
    "stations.yaml": 'x: y\n"+22133": thies\n"+221": dakar\n',
}


def test_csv_and_yaml_sort_the_same(tmp_path):
    for name, text in FILES.items():
        (tmp_path / name).write_text(text, encoding="utf-8")
    csv, yaml = (load(RULES.format(kind), read=make_list_reader(str(tmp_path))) for kind in ("csv", "yaml"))
    rules_used = set()
    for number in ("+22133000111", "+221700001", "+33"):
        for caller in ("+221770000001", "+1"):
            call_facts = facts(number=number, caller=caller)
            assert csv.classify(call_facts) == yaml.classify(call_facts)
            rules_used.add(csv.classify(call_facts).rule)
    assert rules_used == {"v", "s", "default"}


@pytest.mark.parametrize(
    "name, data, columns, text",
    [
        ("a.csv", b"", 1, "row 1: is empty"),
        ("a.csv", b"a,b\n", 1, "row 1: has 2 columns, needs 1"),
        ("a.csv", b"a,b\nc\n", 2, "row 2: has 1 columns"),
        ("a.csv", b"a,b\na,c\n", 2, "row 2: 'a' is already in row 1"),
        ("a.csv", b"a,b\n,c\n", 2, "row 2: its first column is empty"),
        ("a.csv", b"a,b\nc,d", 2, "cut off"),
        ("a.csv", b'a,"b\n', 2, "cut off"),
        ("a.csv", b"\xff\xfe", 1, "no UTF-8"),
        ("missing.csv", None, 1, "cannot be read"),
        ("a.yaml", b"- a\n- [", 1, "row"),
        ("a.yaml", b"a: b\n", 1, "should be a list"),
        ("a.yaml", b"- a\n", 2, "should be a map"),
        ("a.yaml", b"- a\n- 5\n", 1, "row 2: 5 is no text"),
        ("a.yaml", b"- a\n- a\n", 1, "row 2: 'a' is already in row 1"),
        ("a.yaml", b"x: 2026-12-01\n", 2, "is no text"),
    ],
)
def test_malformed_files(tmp_path, name, data, columns, text):
    if data is not None:
        (tmp_path / name).write_bytes(data)
    with pytest.raises(ListError) as caught:
        make_list_reader(str(tmp_path))(name, columns)
    assert text in str(caught.value) and name in str(caught.value)
    with pytest.raises(MatchError) as caught:
        load(
            f'\n{"set" if columns == 1 else "table"} x from "{name}"\ndefault {{ type t }}',
            read=make_list_reader(str(tmp_path)),
        )
    assert caught.value.diagnostics[0].line == 2 and text in caught.value.diagnostics[0].text
