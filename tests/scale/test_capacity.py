"""The capacity page agrees with the tables computed from the scale tests' result files."""

import json

import pytest

from bench.scale import capacity, report

PAGE = report.RESULTS_FOLDER.parent / "CAPACITY.md"


def between(text, name):
    """The lines between the page's two comments that delimit this table."""
    return text.partition(f"<!-- {name} -->\n")[2].partition(f"\n<!-- end of {name} -->")[0].splitlines()


@pytest.mark.parametrize("name", ["table", "depth_table", "runs_table"])
def test_the_page_holds_the_tables_as_they_are_worked_out(name):
    assert between(PAGE.read_text(encoding="utf-8"), name) == getattr(capacity, name)()


def test_every_slope_covers_four_sizes_and_has_a_residual():
    for test in {figure.test for figure in capacity.FIGURES}:
        result = capacity.load(test)
        for slope in result["slopes"]:
            sizes = {row[slope["by"]] for row in result["rows"] if slope["by"] in row}
            assert len(sizes) >= 4 and slope["residual"] >= 0, (test, slope)


def test_a_result_that_is_not_there_is_named(tmp_path):
    with pytest.raises(capacity.MissingResultError, match="scale-decisions.json is missing"):
        capacity.table(tmp_path)
    (tmp_path / "scale-decisions.json").write_text(json.dumps({"test": "decisions", "slopes": []}))
    with pytest.raises(capacity.MissingResultError, match="no slope for"):
        capacity.table(tmp_path)
