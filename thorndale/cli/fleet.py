"""`thorndale fleet view PLACE...`: the members as each proxy sees them, from their logs.

Exit codes: 0 told; 1 some file could not be used, the rest is told; 2 no file could.
"""

import datetime

import typer

from thorndale.cli.balance import files
from thorndale.fleet.view import STALE_S, lease_views, leases_by_server, member_views, view_differences, view_groups

app = typer.Typer(add_completion=False, no_args_is_help=True, help="The fleet as its proxies see it.")
NAMED = 12  # names of one row that are written out


@app.callback()
def _fleet():
    """The fleet as its proxies see it."""


def _names(names):
    names = sorted(names)
    return ", ".join(names[:NAMED]) + (f" and {len(names) - NAMED} more" if len(names) > NAMED else "")


def _clock(second):
    return datetime.datetime.fromtimestamp(second, datetime.UTC).strftime("%H:%M:%S")


@app.command()
def view(places: list[str] = typer.Argument(help="Logs of proxies, or folders with them.")):
    """Who is there as each proxy sees it, where views differ, and since when; who holds which rights to retries, what
    was refused for want of one, which servers hearsay shuts."""
    found, rights, useless = {}, {}, 0
    for path in files(places):
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                seen, bad = member_views(file)
                file.seek(0)
                rights |= lease_views(file)
        except OSError as fault:
            typer.echo(f"{path}: cannot be read: {fault.strerror}", err=True)
            useless += 1
            continue
        if not seen:
            typer.echo(f"{path}: has no line on members: no log, or its proxy has no `fleet` in its settings", err=True)
            useless += 1
        elif bad:
            typer.echo(f"{path}: {bad} lines could not be read and are left out", err=True)
        found |= seen
    if not found:
        raise typer.Exit(2)
    newest = max(seen.second for seen in found.values())
    groups = view_groups(found)
    typer.echo(
        f"{len(found)} proxies, last heard {_clock(newest)} UTC, "
        + ("all see the same" if len(groups) == 1 else f"{len(groups)} different views")
    )
    for proxies, there in groups:
        typer.echo(f"  {len(proxies)} proxies ({_names(proxies)}) see {len(there)}: {_names(there)}")
    for member, states, since in view_differences(found):
        shown = "; ".join(f"{state} to {len(p)} ({_names(p)})" for state, p in sorted(states.items()))
        typer.echo(f"{member}: {shown}; since {_clock(since)}")
    for proxy, seen in sorted(found.items()):
        if seen.second < newest - STALE_S:
            typer.echo(f"{proxy}: its last line is of {_clock(seen.second)}: it ended, or stands still")
        elif seen.slow > 1:
            typer.echo(f"{proxy}: finds itself slow ({seen.slow}): a busy core, or cut off")
    _tell_rights(rights)
    raise typer.Exit(1 if useless else 0)


def _tell_rights(rights):
    asked = {proxy: own.counts for proxy, own in rights.items() if own.counts.get("asked")}
    if asked:
        total = {key: sum(c.get(key, 0) for c in asked.values()) for key in ("asked", "given", "refused", "unheard")}
        typer.echo(
            f"retries: {total['asked']} asked for, {total['given']} given, {total['refused']} refused, of these "
            f"{total['unheard']} without an answer; most refused at "
            + _names(sorted(asked, key=lambda p: -asked[p].get("refused", 0))[:3])
        )
    for server, held, shut in leases_by_server(rights):
        holders = sorted(held, key=lambda p: -held[p])
        typer.echo(
            f"{server}: "
            + "; ".join(
                [f"{sum(held.values())} rights, at {_names(holders)}"] * bool(held)
                + [f"shut by hearsay at {len(shut)} ({_names(shut)})"] * bool(shut)
            )
        )
