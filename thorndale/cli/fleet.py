"""`thorndale fleet view PLACE...`: the membership as seen by each proxy, from the logs of the proxies.

Exit codes: 0 report printed; 1 report printed, but some file was unusable; 2 no usable file.
"""

import datetime

import typer

from thorndale.cli.balance import log_files
from thorndale.fleet.view import STALE_S, lease_views, leases_by_server, member_views, view_differences, view_groups

app = typer.Typer(add_completion=False, no_args_is_help=True, help="The state of the fleet as seen by its proxies.")
MAX_NAMES_SHOWN = 12  # names printed per list; the others are counted


@app.callback()
def _fleet():
    """The state of the fleet as seen by its proxies."""


def _names(names):
    names = sorted(names)
    return ", ".join(names[:MAX_NAMES_SHOWN]) + (
        f" and {len(names) - MAX_NAMES_SHOWN} more" if len(names) > MAX_NAMES_SHOWN else ""
    )


def _clock(second):
    return datetime.datetime.fromtimestamp(second, datetime.UTC).strftime("%H:%M:%S")


@app.command()
def view(places: list[str] = typer.Argument(help="Logs of proxies, or folders with them.")):
    """Members as seen by each proxy, where the views differ, and since when; the retry leases that each proxy holds,
    retries refused for lack of a lease, and servers avoided because of peer failure reports."""
    views, leases, unusable = {}, {}, 0
    for path in log_files(places):
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                file_views, unreadable = member_views(file)
                file.seek(0)
                leases |= lease_views(file)
        except OSError as error:
            typer.echo(f"{path}: cannot be read: {error.strerror}", err=True)
            unusable += 1
            continue
        if not file_views:
            typer.echo(f"{path}: no `members` line: not the log of a proxy, or its settings have no `fleet`", err=True)
            unusable += 1
        elif unreadable:
            typer.echo(f"{path}: {unreadable} lines could not be read and are skipped", err=True)
        views |= file_views
    if not views:
        raise typer.Exit(2)
    newest = max(view.second for view in views.values())
    groups = view_groups(views)
    typer.echo(
        f"{len(views)} proxies, last log line {_clock(newest)} UTC, "
        + ("all views agree" if len(groups) == 1 else f"{len(groups)} different views")
    )
    for proxies, alive in groups:
        typer.echo(f"  {len(proxies)} proxies ({_names(proxies)}) see {len(alive)}: {_names(alive)}")
    for member, states, since in view_differences(views):
        summary = "; ".join(f"{state} to {len(p)} ({_names(p)})" for state, p in sorted(states.items()))
        typer.echo(f"{member}: {summary}; since {_clock(since)}")
    for proxy, view in sorted(views.items()):
        if view.second < newest - STALE_S:
            typer.echo(f"{proxy}: the last log line is of {_clock(view.second)}: the proxy ended or hangs")
        elif view.slow > 1:
            typer.echo(f"{proxy}: rates itself as slow ({view.slow}): the core is busy, or the proxy is partitioned")
    _print_leases(leases)
    raise typer.Exit(1 if unusable else 0)


def _print_leases(leases):
    counts_by_proxy = {proxy: lease.counts for proxy, lease in leases.items() if lease.counts.get("asked")}
    if counts_by_proxy:
        total = {
            key: sum(c.get(key, 0) for c in counts_by_proxy.values())
            for key in ("asked", "given", "refused", "unheard")
        }
        typer.echo(
            f"retries: {total['asked']} requested, {total['given']} given, {total['refused']} refused, of these "
            f"{total['unheard']} unanswered; most refused at "
            + _names(sorted(counts_by_proxy, key=lambda p: -counts_by_proxy[p].get("refused", 0))[:3])
        )
    for server, held, avoided_by in leases_by_server(leases):
        holders = sorted(held, key=lambda p: -held[p])
        typer.echo(
            f"{server}: "
            + "; ".join(
                [f"{sum(held.values())} retry leases, at {_names(holders)}"] * bool(held)
                + [f"avoided by peer failure reports at {len(avoided_by)} ({_names(avoided_by)})"] * bool(avoided_by)
            )
        )
