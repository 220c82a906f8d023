"""Computes the figures at the target size from the scale tests' JSON files: `python -m bench.scale.capacity`

Prints the tables of docs/CAPACITY.md; `--chart FILE` draws the slopes. Exits with code 1 if a result is missing.
"""

import argparse
import json
import sys
from typing import NamedTuple

from bench.scale import report, target

CHART_COLUMNS = 2


class MissingResultError(Exception):
    """The result file of a scale test is missing, or it has no matching slope."""


class Figure(NamedTuple):
    """One row of the table: a cost of one role, and the test and slope it is computed from. `keys`: the entries that the
    slope must match. `limit`: in the displayed unit, None if the cost has no limit. `factor`: converts the test's unit
    to the displayed unit."""

    role: str
    cost: str
    test: str
    keys: dict
    unit: str
    limit: float | None = None
    factor: float = 1.0
    mechanism: str = ""


def _by_members(column, **keys):
    return {"of": column, "by": "members", **keys}


FIGURES = (
    Figure(
        "border proxy",
        "decision on one call, 37 servers in its service",
        "decisions",
        {"play": "listed", "of": "call_us"},
        "ms",
        None,
        1e-3,
        "weighted round robin over one service",
    ),
    Figure(
        "border proxy",
        "decision on one call, all servers in one service",
        "decisions",
        {"play": "service", "of": "call_us", "target": target.SERVERS},
        "ms",
        target.ADDED_MS,
        1e-3,
        "the same",
    ),
    Figure(
        "border proxy",
        "one change of the server list",
        "decisions",
        {"play": "listed", "of": "change_ms"},
        "ms",
        None,
        1.0,
        "list index rebuilt",
    ),
    Figure(
        "border proxy",
        "memory of the module",
        "decisions",
        {"play": "listed", "of": "memory_kb"},
        "MB",
        None,
        1 / 1024,
        "one row of state per server",
    ),
    Figure(
        "border proxy",
        "added to a set-up, p50, control on",
        "callpath",
        _by_members("added_p50_us"),
        "ms",
        None,
        1e-3,
        "one thread, no queue",
    ),
    Figure(
        "border proxy",
        "added to a set-up, p99, control on",
        "callpath",
        _by_members("added_p99_us"),
        "ms",
        target.ADDED_MS,
        1e-3,
        "one thread, no queue",
    ),
    Figure(
        "border proxy",
        "control: part of a core, before calls",
        "callpath",
        _by_members("idle_core"),
        "%",
        100 * target.CONTROL_CORE,
        100.0,
        "SWIM probes",
    ),
    Figure(
        "border proxy",
        "memory of the whole process",
        "callpath",
        _by_members("memory_mb"),
        "MB",
        target.CONTROL_MB,
        1.0,
        "",
    ),
    Figure(
        "border proxy",
        "control: bytes sent",
        "callpath",
        _by_members("sent_bytes_per_s"),
        "B/s",
        target.CONTROL_BYTES_PER_S,
        1.0,
        "SWIM, retry budgets, peer failure reports",
    ),
    Figure(
        "border proxy",
        "membership, cold start of everybody: bytes sent",
        "membership",
        _by_members("bytes_per_s", play="cold"),
        "B/s",
        target.CONTROL_BYTES_PER_S,
        1.0,
        "gossip, ten membership updates per datagram",
    ),
    Figure(
        "border proxy",
        "membership, cold start of everybody: part of a core",
        "membership",
        _by_members("core_part", play="cold"),
        "%",
        100 * target.CONTROL_CORE,
        100.0,
        "the same",
    ),
    Figure(
        "border proxy",
        "one dead member known dead by all",
        "membership",
        _by_members("known_dead_s", play="one"),
        "s",
        None,
        1.0,
        "suspicion, gossip",
    ),
    Figure(
        "border proxy",
        "retry budgets and words: bytes, 37 proxies a service",
        "budgets",
        {"of": "bytes_per_s", "target": target.SERVICE_SERVERS},
        "B/s",
        target.CONTROL_BYTES_PER_S,
        1.0,
        "escrow with leases; gossip",
    ),
    Figure(
        "border proxy",
        "retry budgets and words: part of a core",
        "budgets",
        {"of": "core_part", "target": target.SERVICE_SERVERS},
        "%",
        100 * target.CONTROL_CORE,
        100.0,
        "the same",
    ),
    Figure(
        "border proxy",
        "retry budgets and words: bytes, calling every server",
        "budgets",
        {"of": "bytes_per_s", "target": target.SERVERS},
        "B/s",
        target.CONTROL_BYTES_PER_S,
        1.0,
        "the same",
    ),
    Figure(
        "border proxy",
        "use of the retry bound, 37 proxies a service",
        "budgets",
        {"of": "use_mean", "target": target.SERVICE_SERVERS},
        "",
        None,
        1.0,
        "the same",
    ),
    Figure(
        "border proxy",
        "descriptors, calling every server by TCP",
        "connections",
        {"play": "proxy", "of": "descriptors"},
        "",
        1024,
        1.0,
        "one connection per server called",
    ),
    Figure(
        "central server",
        "connections, called by every proxy",
        "connections",
        {"play": "server", "of": "held", "target": target.SERVERS},
        "",
        None,
        1.0,
        "one per proxy",
    ),
    Figure(
        "central server",
        "connections, called by the 37 of one service",
        "connections",
        {"play": "server", "of": "held", "target": target.SERVICE_SERVERS},
        "",
        None,
        1.0,
        "one per proxy",
    ),
    Figure(
        "operator's command",
        "a change of the rules written and signalled, one after another",
        "configuration",
        {"of": "operator_ms"},
        "s",
        target.CHANGE_IN_FORCE_S,
        1e-3,
        "file and SIGHUP, no distribution mechanism",
    ),
    Figure(
        "border proxy",
        "processor time for one change of 100 rules",
        "configuration",
        {"of": "each_ms"},
        "ms",
        None,
        1.0,
        "compiled outside the event loop",
    ),
)


def load(test, folder=report.RESULTS_FOLDER):
    path = report.result_path(test, folder)
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        raise MissingResultError(f"{path.name} is missing: run python -m bench.scale.{test}") from None


def find_slope(result, keys):
    for slope in result["slopes"]:
        if all(slope.get(key) == value for key, value in keys.items()):
            return slope
    raise MissingResultError(f"scale-{result['test']}.json has no slope for {keys}")


def format_value(value):
    """Formats with three significant digits, whole numbers from 1,000 on."""
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(folder=report.RESULTS_FOLDER):
    """The lines of the capacity table, in Markdown."""
    lines = [
        "| role | cost | at the target | limit | ratio | slope (n: size; in the test's unit) | test |",
        "| --- | --- | ---: | ---: | ---: | --- | --- |",
    ]
    for figure in FIGURES:
        slope = find_slope(load(figure.test, folder), figure.keys)
        value = slope["at_target"] * figure.factor
        limit = "-" if figure.limit is None else f"{format_value(figure.limit)} {figure.unit}".strip()
        ratio = "-" if figure.limit is None else f"{value / figure.limit:.2f}"
        lines.append(
            f"| {figure.role} | {figure.cost} | {format_value(value)} {figure.unit}".rstrip()
            + f" | {limit} | {ratio} | {slope['text']} | {figure.test} |"
        )
    return lines


def depth_table(folder=report.RESULTS_FOLDER):
    """Share of offered calls that were answered, by depth, without and with chain marks; the mean over the seeds."""
    rows = load("depth", folder)["rows"]
    depths = sorted({row["depth"] for row in rows})
    lines = [
        "| reports and named waits | last hop | load | marked | " + " | ".join(f"{d}" for d in depths) + " |",
        "| --- | --- | ---: | --- | " + " | ".join("---:" for _ in depths) + " |",
    ]
    scenarios = dict.fromkeys((r["reports"], r["fault"], r["load"], r["redials"], r["marked"]) for r in rows)
    for scenario in sorted(
        scenarios, key=lambda k: (k[3], k[0], ("healthy", "failing", "dead").index(k[1]), k[2], k[4])
    ):
        reports, fault, offered_load, redials, marked = scenario
        cells = []
        for depth in depths:
            answered_shares = [
                r["stood"]
                for r in rows
                if r["depth"] == depth and (r["reports"], r["fault"], r["load"], r["redials"], r["marked"]) == scenario
            ]
            cells.append(f"{sum(answered_shares) / len(answered_shares):.2f}" if answered_shares else "-")
        reports_text = "yes" if reports else "no"
        redials_text = ", 2 redials" if redials else ""
        marked_text = "yes" if marked else "no"
        lines.append(
            f"| {reports_text}{redials_text} | {fault} | {offered_load} | {marked_text} | " + " | ".join(cells) + " |"
        )
    return lines


TESTS = (
    "membership",
    "budgets",
    "depth",
    "chain_days",
    "decisions",
    "configuration",
    "callpath",
    "connections",
)


def runs_table(folder=report.RESULTS_FOLDER):
    """The commands as they were run, with their duration and the load average before them."""
    lines = ["| test | command | seconds | load before |", "| --- | --- | ---: | ---: |"]
    for test in TESTS:
        result = load(test, folder)
        lines.append(f"| {test} | `{result['command']}` | {result['seconds']:.0f} | {result['load_before']} |")
    return lines


def draw(path, folder=report.RESULTS_FOLDER):
    """Draws the measured values and their fits up to the target size, one panel for each cost that grows."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt
    import numpy

    from bench.scale.fit import Fit

    panels = [f for f in FIGURES if find_slope(load(f.test, folder), f.keys)["law"] != "constant"]
    rows = -(-len(panels) // CHART_COLUMNS)
    figure, axes = plt.subplots(rows, CHART_COLUMNS, figsize=(10, 2.4 * rows), squeeze=False)
    for axis, panel in zip(axes.flat, panels, strict=False):
        result = load(panel.test, folder)
        slope = find_slope(result, panel.keys)
        row_filter = {key: value for key, value in panel.keys.items() if key in ("play", "loss")}
        matching = [
            r for r in result["rows"] if all(r.get(k) == v for k, v in row_filter.items()) and r.get(slope["by"], 0) > 0
        ]
        points = [(r[slope["by"]], r[slope["of"]] * panel.factor) for r in matching if r.get(slope["of"]) is not None]
        sizes = numpy.linspace(min(p[0] for p in points), slope["target"], 60)
        fitted = Fit(slope["law"], tuple(slope["terms"]), slope["residual"])
        axis.plot(*zip(*points, strict=True), "o", markersize=4)
        axis.plot(sizes, [fitted.at(n) * panel.factor for n in sizes], "-", linewidth=1)
        if panel.limit is not None:
            axis.axhline(panel.limit, linestyle="--", linewidth=1, color="tab:red")
        axis.set_title(f"{panel.cost}, {panel.unit}", fontsize=8)
        axis.tick_params(labelsize=7)
    for axis in list(axes.flat)[len(panels) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--folder", default=str(report.RESULTS_FOLDER))
    parser.add_argument("--chart", default="")
    args = parser.parse_args()
    try:
        tables = (table, depth_table, runs_table)
        print("\n\n".join("\n".join(each(args.folder)) for each in tables))
        if args.chart:
            draw(args.chart, args.folder)
    except MissingResultError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
