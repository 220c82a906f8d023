"""`thorndale run FILE`, `check FILE`, `match FILE --number N`, `match test FILE EXAMPLES`,
`match fmt RULES`, `day DAY`, `plan FILE --lose NAME`, `balance PLACE...`, `fleet view PLACE...`,
`records verify|show|rate|export|settle|erase FOLDER...`.

Exit codes: 0 success; 1 failure, or a rule of the auditor was broken; 2 invalid input, nothing was opened.
"""

import sys

import typer

from thorndale.cli.fleet import app as fleet_app
from thorndale.cli.records import app as records_app
from thorndale.config.load import ConfigError, load, load_rule_set

app = typer.Typer(
    add_completion=False, no_args_is_help=True, help="A call router over trunk groups.", pretty_exceptions_enable=False
)
app.add_typer(records_app, name="records")
app.add_typer(fleet_app, name="fleet")


def _load(path):
    """The settings and their rules; on invalid input prints every problem and exits with code 2."""
    try:
        settings = load(path)
        return settings, load_rule_set(settings, path)
    except ConfigError as error:
        typer.echo(error.rendered or "\n".join(f"{error.where}: {text}" for text in error.problems), err=True)
        raise typer.Exit(2) from None


@app.command()
def run(file: str = typer.Argument(help="A settings file, JSON5.")):
    """Runs one border proxy until SIGTERM."""
    from thorndale.daemon.start import main

    raise typer.Exit(main(file))


@app.command()
def check(
    file: str = typer.Argument(help="A settings file, JSON5."),
    deep: bool = typer.Option(
        False, help="Also use a solver to find rules that never match or overlap, and calls that no rule matches."
    ),
    seconds: float = typer.Option(20.0, help="With --deep: time limit of all solver queries together."),
):
    """Checks a settings file without opening sockets."""
    settings, rules = _load(file)
    typer.echo(
        f"{file}: valid: {len(settings.listen)} listeners, {len(settings.servers)} central servers in "
        f"{len(settings.trunk_groups)} trunk groups, {len(settings.call_types)} call types, {len(rules.rules)} "
        f"rules of at most {rules.bound()} steps in total"
    )
    if settings.matching.examples:
        import os

        from thorndale.cli.explain import run_examples

        examples_path = os.path.join(os.path.dirname(file), settings.matching.examples)
        code = run_examples(settings, rules, examples_path, typer.echo)
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
    header: list[str] = typer.Option([], help="A header, as 'Name: value'; may be repeated."),
    call: str = typer.Option("", help="A file that contains an INVITE, instead of the options above."),
):
    """Shows how the rules of FILE classify a call, and why; 'test' runs a file of examples."""
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
    file: str = typer.Argument(help="A scripted load scenario, JSON5; see examples/days."),
    calls: int = typer.Option(0, help="Number of calls, instead of the duration in the file."),
    keep: str = typer.Option("", help="A folder in which to keep the settings and logs of the proxies."),
    seconds: bool = typer.Option(True, help="Also print a row for each second."),
):
    """Plays a scenario on loopback and checks the five rules. Exit code 1 if one was broken or a resource leaked."""
    import os

    from thorndale.cli.tables import print_day
    from thorndale.standins.day import DayError, exit_code, play
    from thorndale.standins.script import read_file

    try:
        scenario = read_file(file)
        if keep:
            os.makedirs(keep, exist_ok=True)
    except ConfigError as error:
        for line in error.problems:
            typer.echo(f"{file}: {line}", err=True)
        raise typer.Exit(2) from None
    except OSError as error:
        typer.echo(f"{keep}: cannot be created: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    try:
        player, breaks = play(scenario, calls, folder=keep or None)
    except DayError as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(1) from None
    print_day(player, breaks, seconds)
    raise typer.Exit(exit_code(player, breaks))


@app.command()
def plan(
    file: str = typer.Argument(help="A plan file, JSON5; see examples/plan.json5."),
    lose: list[str] = typer.Option(
        [], help="A site or server that is lost; may be repeated. Default: each site in turn."
    ),
):
    """Plans the overflow between sites after the loss of a site or server; prints JSON5 for the settings."""
    from thorndale.call.decision import site_settings
    from thorndale.cli.plan import losses, show
    from thorndale.config.plans import read_plan
    from thorndale.sites.topology import SitesError

    try:
        settings, servers, offered_load = read_plan(file, lambda s: site_settings(s)["site_order"])
        show(settings, servers, offered_load, losses(settings, lose, servers), typer.echo)
    except ConfigError as error:
        typer.echo("\n".join(f"{error.where}: {text}" for text in error.problems), err=True)
        raise typer.Exit(2) from None
    except KeyError as error:
        typer.echo(f"{file}: --lose {error.args[0]!r} is neither a site nor a server there", err=True)
        raise typer.Exit(2) from None
    except SitesError as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(1) from None


@app.command()
def balance(
    places: list[str] = typer.Argument(help="Logs of proxies, or folders with them."),
    proxy: str = typer.Option("", help="Also show what this proxy sent to each server, and why."),
):
    """Shows how evenly a fleet used its central servers: shares, herds by second, idle servers."""
    from thorndale.cli.balance import balance as print_balance

    raise typer.Exit(print_balance(places, proxy, typer.echo))


if __name__ == "__main__":
    sys.exit(app())
