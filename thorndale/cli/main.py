"""`thorndale run FILE`, `check FILE`, `match FILE --number N`, `match test FILE EXAMPLES`,
`match fmt RULES`, `day DAY`, `plan FILE --lose NAME`, `balance PLACE...`, `fleet view PLACE...`,
`records verify|show|rate|export|settle|erase FOLDER...`.

Exit codes: 0 done; 1 it could not be done, or a rule was broken; 2 the input is wrong and nothing was opened.
"""

import sys

import typer

from thorndale.cli.fleet import app as fleet
from thorndale.cli.records import app as records
from thorndale.config.load import ConfigError, load, matching

app = typer.Typer(
    add_completion=False, no_args_is_help=True, help="A call router over trunk groups.", pretty_exceptions_enable=False
)
app.add_typer(records, name="records")
app.add_typer(fleet, name="fleet")


def _load(path):
    """The settings and their rules, or every fault and exit code 2."""
    try:
        settings = load(path)
        return settings, matching(settings, path)
    except ConfigError as fault:
        typer.echo(fault.shown or "\n".join(f"{fault.where}: {text}" for text in fault.faults), err=True)
        raise typer.Exit(2) from None


@app.command()
def run(file: str = typer.Argument(help="A settings file, JSON5.")):
    """Runs one border proxy until SIGTERM."""
    from thorndale.daemon.start import main

    raise typer.Exit(main(file))


@app.command()
def check(
    file: str = typer.Argument(help="A settings file, JSON5."),
    deep: bool = typer.Option(False, help="Also ask a solver which rules never match, overlap or leave calls out."),
    seconds: float = typer.Option(20.0, help="With --deep: time for all questions together."),
):
    """Checks a settings file and opens nothing."""
    settings, rules = _load(file)
    typer.echo(
        f"{file}: sound: {len(settings.listen)} listeners, {len(settings.servers)} central servers in "
        f"{len(settings.trunk_groups)} trunk groups, {len(settings.call_types)} call types, {len(rules.rules)} "
        f"rules of at most {rules.bound()} steps together"
    )
    if settings.matching.examples:
        import os

        from thorndale.cli.explain import run_examples

        beside = os.path.join(os.path.dirname(file), settings.matching.examples)
        code = run_examples(settings, rules, beside, typer.echo)
        if code:
            raise typer.Exit(code)
    if deep:
        from thorndale.match.analysis import Analysis

        for finding in Analysis(rules, seconds).all():
            call = f"; for example {finding.example}" if finding.example else ""
            typer.echo(f"{finding.kind}: {', '.join(map(repr, finding.rules))}: {finding.text}{call}")


@app.command()
def match(
    what: list[str] = typer.Argument(help="A settings file; or 'test', settings, examples; or 'fmt', a rules file."),
    number: str = typer.Option("", help="The number dialled."),
    caller: str = typer.Option("+221770000000", help="The caller's number."),
    header: list[str] = typer.Option([], help="A header, as 'Name: value'; may be given again."),
    call: str = typer.Option("", help="A file that holds an INVITE, in place of the above."),
):
    """Tells how the rules of FILE sort a call, and why; 'test' runs examples kept beside them."""
    from thorndale.cli.explain import explain, format_rules, run_examples

    if what[0] == "fmt" and len(what) == 2:
        raise typer.Exit(format_rules(what[1], typer.echo))
    if what[0] == "test" and len(what) == 3:
        settings, rules = _load(what[1])
        raise typer.Exit(run_examples(settings, rules, what[2], typer.echo))
    if len(what) != 1 or not (number or call):
        typer.echo("match: give a settings file with --number or --call, 'test FILE EXAMPLES' or 'fmt RULES'", err=True)
        raise typer.Exit(2)
    settings, rules = _load(what[0])
    raise typer.Exit(explain(settings, rules, number, caller, header, call, typer.echo))


@app.command()
def day(
    file: str = typer.Argument(help="A scripted day, JSON5; see examples/days."),
    calls: int = typer.Option(0, help="This many calls in place of the day's own length."),
    keep: str = typer.Option("", help="A folder in which the proxies' settings and logs are kept."),
    seconds: bool = typer.Option(True, help="Print a row for each second too."),
):
    """Plays a day on loopback and judges the five rules. Exit code 1 where one was broken or something leaked."""
    import os

    from thorndale.cli.tables import print_day
    from thorndale.standins.day import DayError, exit_code, play
    from thorndale.standins.script import read_file

    try:
        plan = read_file(file)
        if keep:
            os.makedirs(keep, exist_ok=True)
    except ConfigError as fault:
        for line in fault.faults:
            typer.echo(f"{file}: {line}", err=True)
        raise typer.Exit(2) from None
    except OSError as fault:
        typer.echo(f"{keep}: cannot be made: {fault.strerror}", err=True)
        raise typer.Exit(2) from None
    try:
        player, breaks = play(plan, calls, folder=keep or None)
    except DayError as fault:
        typer.echo(f"{file}: {fault}", err=True)
        raise typer.Exit(1) from None
    print_day(player, breaks, seconds)
    raise typer.Exit(exit_code(player, breaks))


@app.command()
def plan(
    file: str = typer.Argument(help="A plan file, JSON5; see examples/plan.json5."),
    lose: list[str] = typer.Option([], help="A site or server that is lost; may come again. Each site, if left out."),
):
    """What to let spill where when a site or server is lost; the output is JSON5 for the settings."""
    from thorndale.call.decision import site_settings
    from thorndale.cli.plan import losses, show
    from thorndale.config.plans import read_plan
    from thorndale.sites.topology import SitesError

    try:
        settings, servers, load_ = read_plan(file, lambda s: site_settings(s)["site_order"])
        show(settings, servers, load_, losses(settings, lose, servers), typer.echo)
    except ConfigError as fault:
        typer.echo("\n".join(f"{fault.where}: {text}" for text in fault.faults), err=True)
        raise typer.Exit(2) from None
    except KeyError as fault:
        typer.echo(f"{file}: --lose {fault.args[0]!r} is neither a site nor a server there", err=True)
        raise typer.Exit(2) from None
    except SitesError as fault:
        typer.echo(f"{file}: {fault}", err=True)
        raise typer.Exit(1) from None


@app.command()
def balance(
    places: list[str] = typer.Argument(help="Logs of proxies, or folders with them."),
    proxy: str = typer.Option("", help="Also what this one sent to each server, and why."),
):
    """How evenly a fleet used its central servers: shares, herds by second, servers left idle."""
    from thorndale.cli.balance import balance as told

    raise typer.Exit(told(places, proxy, typer.echo))


if __name__ == "__main__":
    sys.exit(app())
