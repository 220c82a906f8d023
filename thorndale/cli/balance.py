"""`thorndale balance PLACE...`: how evenly a fleet used its central servers, from the logs of its proxies.

Exit codes: 0 told; 1 some file could not be used, the rest is told; 2 no file could.
"""

import datetime
import os

from rich.console import Console
from rich.table import Table

from thorndale.spread import measure
from thorndale.spread.gather import LogError, combine_entries, read_entries

BARS = " .:-=+*#%@"
HERDS_SHOWN = 10
PEAK_AT = 1.25  # share of a second beyond chance from which a herd is listed


def files(places):
    """The logs that are meant: a folder stands for its files ending in .log."""
    for place in places:
        if os.path.isdir(place):
            yield from sorted(os.path.join(place, n) for n in os.listdir(place) if n.endswith(".log"))
        else:
            yield place


def read(paths, complain):
    """(what they tell, how many could not be used)."""
    found, useless = [], 0
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines, bad = read_entries(file)
        except OSError as fault:
            complain(f"{path}: cannot be read: {fault.strerror}")
            useless += 1
            continue
        except LogError as fault:
            complain(f"{path}: {fault}")
            useless += 1
            continue
        if bad:
            complain(f"{path}: {bad} lines could not be read and are left out; is it cut off, or not a proxy's alone?")
        found += lines
    return found, useless


def _clock(second):
    return datetime.datetime.fromtimestamp(second, datetime.UTC).strftime("%H:%M:%S")


def _bar(row, most):
    """One character for each of some sixty spans: how much of the most of any server."""
    step = max(1, -(-len(row) // 60))
    return "".join(
        BARS[min(len(BARS) - 1, int(sum(row[n : n + step]) / step / most * (len(BARS) - 1) + 0.5))]
        for n in range(0, len(row), step)
    )


def show(fleet, proxies, proxy=""):
    console = Console(width=None if Console().is_terminal else 140)
    pools = fleet.pools()
    found = measure.balance(fleet.rows, pools)
    seconds = len(fleet.rows[0])
    console.print(
        f"{proxies} proxies, {len(fleet.servers)} servers in {len(pools)} trunk groups, {seconds} s from "
        f"{_clock(fleet.first)} UTC, {sum(map(sum, fleet.rows))} set-ups"
    )
    table = Table(title="By server", title_justify="left")
    for name in ("server", "trunk group", "set-ups", "of group", "of an even part", "proxies", "share learned"):
        table.add_column(name, justify="left" if name in ("server", "trunk group") else "right")
    table.add_column(f"by time, {max(1, -(-seconds // 60))} s a sign")
    for pool in pools:
        whole = sum(sum(fleet.rows[s]) for s in pool)
        for s in pool:
            name, sent = fleet.servers[s], sum(fleet.rows[s])
            own = [part for (_, server), part in fleet.proxy_shares.items() if server == name]
            shares = sorted(share for _, share, _ in own)
            table.add_row(
                name,
                fleet.groups[s],
                str(sent),
                f"{sent / max(1, whole):.3f}",
                f"{sent / max(1, whole) * len(pool):.2f}",
                str(sum(1 for n, _, _ in own if n)),
                f"{shares[len(shares) // 2]:.2f}" if shares else "",
                _bar(fleet.rows[s], max(1, max(max(fleet.rows[o]) for o in pool))),
            )
    console.print(table)
    console.print(
        f"windows of {measure.WINDOW_S} s: least {found.least:.2f}, most {found.most:.2f} of an even part; "
        f"mean square beside independent even draws {found.variance:.2f} (1: chance; less: more even)"
    )
    console.print(
        f"largest second: {found.peak:.2f} of an even part beyond chance"
        + (f", {fleet.servers[found.peak_at[0]]} at {_clock(fleet.first + found.peak_at[1])}" if found.peak > 0 else "")
    )
    herds = [
        herd for n in range(seconds) if (herd := measure.peak(fleet.rows, pools, None, n, n + 1, seconds))[0] > PEAK_AT
    ]
    for beyond, server, second in sorted(herds, reverse=True)[:HERDS_SHOWN]:
        console.print(
            f"HERD {_clock(fleet.first + second)}: {fleet.servers[server]} got {fleet.rows[server][second]}, "
            f"{beyond:.2f} of its part beyond chance"
        )
    for server, first, span in found.idle[:HERDS_SHOWN]:
        console.print(
            f"IDLE {_clock(fleet.first + first)}: {fleet.servers[server]} got nothing for {span} s while its "
            f"trunk group worked"
        )
    if proxy:
        table = Table(title=f"Of {proxy}", title_justify="left")
        for name in ("server", "set-ups", "share learned", "why less"):
            table.add_column(name)
        for (name, server), (sent, share, why) in sorted(fleet.proxy_shares.items()):
            if name == proxy:
                table.add_row(server, str(sent), f"{share:.2f}", why)
        console.print(table)


def balance(places, proxy, echo):
    """The exit code."""
    lines, useless = read(files(places), lambda text: echo(text, err=True))
    fleet = combine_entries(lines)
    if fleet is None:
        echo("nothing to tell: no log with set-ups among these", err=True)
        return 2
    show(fleet, len({line[0] for line in lines}), proxy)
    return 1 if useless else 0
