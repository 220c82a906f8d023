"""`thorndale balance PLACE...`: how evenly a fleet used its central servers, from the logs of its proxies.

Exit codes: 0 report printed; 1 report printed, but some file was unusable; 2 no usable file.
"""

import datetime
import os

from rich.console import Console
from rich.table import Table

from thorndale.spread import measure
from thorndale.spread.gather import LogError, combine_entries, read_entries

BAR_CHARACTERS = " .:-=+*#%@"
MAX_HERDS_SHOWN = 10
HERD_THRESHOLD = 1.25  # share in one second, beyond random variation, from which a herd is listed


def log_files(places):
    """The paths of the logs: a folder is replaced by its files that end in .log."""
    for place in places:
        if os.path.isdir(place):
            yield from sorted(os.path.join(place, n) for n in os.listdir(place) if n.endswith(".log"))
        else:
            yield place


def read_logs(paths, report_problem):
    """(entries of all logs, number of unusable files)."""
    entries, unusable = [], 0
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                file_entries, unreadable = read_entries(file)
        except OSError as error:
            report_problem(f"{path}: cannot be read: {error.strerror}")
            unusable += 1
            continue
        except LogError as error:
            report_problem(f"{path}: {error}")
            unusable += 1
            continue
        if unreadable:
            report_problem(
                f"{path}: {unreadable} lines could not be read and are skipped; is it cut off, or of several proxies?"
            )
        entries += file_entries
    return entries, unusable


def _clock(second):
    return datetime.datetime.fromtimestamp(second, datetime.UTC).strftime("%H:%M:%S")


def _bar(row, largest):
    """About sixty characters, one per time span: the set-up rate relative to the largest rate of any server."""
    span_s = max(1, -(-len(row) // 60))
    return "".join(
        BAR_CHARACTERS[
            min(
                len(BAR_CHARACTERS) - 1,
                int(sum(row[n : n + span_s]) / span_s / largest * (len(BAR_CHARACTERS) - 1) + 0.5),
            )
        ]
        for n in range(0, len(row), span_s)
    )


def show(fleet, proxies, proxy=""):
    console = Console(width=None if Console().is_terminal else 140)
    pools = fleet.pools()
    stats = measure.balance(fleet.rows, pools)
    seconds = len(fleet.rows[0])
    console.print(
        f"{proxies} proxies, {len(fleet.servers)} servers in {len(pools)} trunk groups, {seconds} s from "
        f"{_clock(fleet.first)} UTC, {sum(map(sum, fleet.rows))} set-ups"
    )
    table = Table(title="By server", title_justify="left")
    for name in ("server", "trunk group", "set-ups", "of group", "of an even share", "proxies", "learned share"):
        table.add_column(name, justify="left" if name in ("server", "trunk group") else "right")
    table.add_column(f"by time, {max(1, -(-seconds // 60))} s per character")
    for pool in pools:
        pool_setups = sum(sum(fleet.rows[s]) for s in pool)
        for s in pool:
            name, setups = fleet.servers[s], sum(fleet.rows[s])
            proxy_shares = [entry for (_, server), entry in fleet.proxy_shares.items() if server == name]
            shares = sorted(share for _, share, _ in proxy_shares)
            table.add_row(
                name,
                fleet.groups[s],
                str(setups),
                f"{setups / max(1, pool_setups):.3f}",
                f"{setups / max(1, pool_setups) * len(pool):.2f}",
                str(sum(1 for n, _, _ in proxy_shares if n)),
                f"{shares[len(shares) // 2]:.2f}" if shares else "",
                _bar(fleet.rows[s], max(1, max(max(fleet.rows[o]) for o in pool))),
            )
    console.print(table)
    console.print(
        f"windows of {measure.WINDOW_S} s: least {stats.least:.2f}, most {stats.most:.2f} of an even share; "
        f"mean square relative to even random draws {stats.variance:.2f} (1: random; less: more even)"
    )
    console.print(
        f"largest second: {stats.peak:.2f} of an even share beyond random variation"
        + (f", {fleet.servers[stats.peak_at[0]]} at {_clock(fleet.first + stats.peak_at[1])}" if stats.peak > 0 else "")
    )
    herds = [
        herd
        for n in range(seconds)
        if (herd := measure.peak(fleet.rows, pools, None, n, n + 1, seconds))[0] > HERD_THRESHOLD
    ]
    for beyond, server, second in sorted(herds, reverse=True)[:MAX_HERDS_SHOWN]:
        console.print(
            f"HERD {_clock(fleet.first + second)}: {fleet.servers[server]} got {fleet.rows[server][second]}, "
            f"{beyond:.2f} of its even share beyond random variation"
        )
    for server, first, span in stats.idle[:MAX_HERDS_SHOWN]:
        console.print(
            f"IDLE {_clock(fleet.first + first)}: {fleet.servers[server]} got nothing for {span} s while its "
            f"trunk group was in use"
        )
    if proxy:
        table = Table(title=f"Of {proxy}", title_justify="left")
        for name in ("server", "set-ups", "learned share", "reason for less"):
            table.add_column(name)
        for (name, server), (setups, share, reason) in sorted(fleet.proxy_shares.items()):
            if name == proxy:
                table.add_row(server, str(setups), f"{share:.2f}", reason)
        console.print(table)


def balance(places, proxy, echo):
    """Prints the report and returns the exit code."""
    entries, unusable = read_logs(log_files(places), lambda text: echo(text, err=True))
    fleet = combine_entries(entries)
    if fleet is None:
        echo("nothing to report: none of these is a log with set-ups", err=True)
        return 2
    show(fleet, len({entry[0] for entry in entries}), proxy)
    return 1 if unusable else 0
