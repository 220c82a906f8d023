"""`thorndale fleet view PLACE...`: the members as each proxy sees them, from their logs.

Exit codes: 0 told; 1 some file could not be used, the rest is told; 2 no file could.
"""

import datetime

import typer

from thorndale.cli.balance import files
from thorndale.fleet.view import STALE_S, differences, parts, views

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
    """Who is there as each proxy sees it, where views differ, and since when."""
    found, useless = {}, 0
    for path in files(places):
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                seen, bad = views(file)
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
    groups = parts(found)
    typer.echo(f"{len(found)} proxies, last heard {_clock(newest)} UTC, "
               + ("all see the same" if len(groups) == 1 else f"{len(groups)} different views"))
    for proxies, there in groups:
        typer.echo(f"  {len(proxies)} proxies ({_names(proxies)}) see {len(there)}: {_names(there)}")
    for member, states, since in differences(found):
        shown = "; ".join(f"{state} to {len(p)} ({_names(p)})" for state, p in sorted(states.items()))
        typer.echo(f"{member}: {shown}; since {_clock(since)}")
    for proxy, seen in sorted(found.items()):
        if seen.second < newest - STALE_S:
            typer.echo(f"{proxy}: its last line is of {_clock(seen.second)}: it ended, or stands still")
        elif seen.slow > 1:
            typer.echo(f"{proxy}: finds itself slow ({seen.slow}): a busy core, or cut off")
    raise typer.Exit(1 if useless else 0)
