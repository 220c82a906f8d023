"""`thorndale records verify|show|rate|export|settle|erase`, for the record folders of one or more proxies.

Exit codes: 0 success without findings; 1 findings or a failure; 2 invalid input, nothing was done.
"""

import datetime
import json
import os
import time
from collections import Counter

import typer
from rich.console import Console
from rich.table import Table

from thorndale.config.load import ConfigError
from thorndale.records import editions as rated_editions
from thorndale.records import folder as record_folder
from thorndale.records import settle as settlement
from thorndale.records.chain import verify as verify_chain
from thorndale.records.files import Files, LockedError
from thorndale.records.read import distinct, find, lines, source

app = typer.Typer(add_completion=False, no_args_is_help=True, help="Call records: check, show, rate, export, settle.")
FOLDERS = typer.Argument(help="Folders of records, one for each proxy.")
MAX_ROWS_SHOWN = 50


def _sources(folders, report_copies=True):
    """The sources without copies; exits with code 2 if one is not a folder."""
    sources = []
    for name in folders:
        if not os.path.isdir(name):
            typer.echo(f"{name}: is not a folder; give the records.folder of a proxy", err=True)
            raise typer.Exit(2)
        sources.append(source(name, Files(name)))
    originals, copies = distinct(sources)
    for copy, original in copies:
        if report_copies:
            typer.echo(f"{copy}: is a copy of {original}, skipped", err=True)
    return originals


def _lines(src, count):
    return lines(src.files, count)


def _parse_time(text, default):
    """Wall time in us of a date, or date and time, in UTC if it has no zone. Exits with code 2 for anything else."""
    if not text:
        return default
    try:
        time_given = datetime.datetime.fromisoformat(text)
    except ValueError:
        typer.echo(f"{text!r} is not a time; write 2026-12-01 or 2026-12-01T08:00:00", err=True)
        raise typer.Exit(2) from None
    if time_given.tzinfo is None:
        time_given = time_given.replace(tzinfo=datetime.UTC)
    return int(time_given.timestamp()) * 1_000_000 + time_given.microsecond


def _report_skipped(count):
    skipped = {k: v for k, v in sorted(count.items()) if v and k != "records"}
    if skipped:
        typer.echo("skipped or open: " + ", ".join(f"{k} {v}" for k, v in skipped.items()), err=True)


def _in_use(files):
    try:
        files.lock()
    except (LockedError, OSError):
        return True
    files.close()
    return False


@app.command()
def verify(
    folders: list[str] = FOLDERS,
    expect: str = typer.Option("", help="The last digest as noted earlier: it must be that of the end of the chain."),
):
    """Checks every byte, the chain of segments and the erasures; reports the position of each error."""
    failed = False
    for name in folders:
        src = _sources([name])[0]
        try:
            check = verify_chain(record_folder.segments(src.files), record_folder.tombstones(src.files))
        except OSError as error:
            typer.echo(f"{name}: {error}", err=True)
            raise typer.Exit(1) from None
        findings = check.findings
        if check.open_tail and _in_use(src.files):  # a write in progress leaves an incomplete frame there
            findings = [x for x in findings if x.name != check.open_tail or "cut short" not in x.what]
        for finding in findings:
            typer.echo(f"{name}: {finding}")
        digest = check.digest or "none"
        if expect and expect != digest:
            typer.echo(f"{name}: its last digest is {digest}, not the one expected")
            failed = True
        failed |= bool(findings)
        newer = f", {check.newer} frames of a newer version kept, not interpreted" if check.newer else ""
        tail = f", {check.open_tail} not sealed yet" if check.open_tail else ""
        typer.echo(
            f"{name}: {check.segments} segments, {check.erasures} erased, {check.frames} frames, "
            f"{check.bytes} bytes{tail}{newer}; last digest {digest}; "
            + (f"{len(findings)} errors" if findings else "sound")
        )
    raise typer.Exit(1 if failed else 0)


@app.command()
def show(
    folders: list[str] = FOLDERS,
    call: str = typer.Option("", help="Only this call: its name in the log, or the Call-ID of its caller."),
    client: str = typer.Option("", help="Only this client's."),
    number: str = typer.Option("", help="Only calls to numbers with this prefix."),
    after: str = typer.Option("", "--from", help="Only calls that ended at this time or later, UTC."),
    before: str = typer.Option("", "--until", help="Only calls that ended before this time."),
    as_json: bool = typer.Option(False, "--json", help="One JSON object per line, with every field."),
    stops: bool = typer.Option(False, help="Only calls that were cut by a stop, and the calls that followed from it."),
):
    """Shows records: a table of at most 50, or all as JSON lines."""
    from thorndale.records import export as exporter  # loads pyarrow, which a running proxy does not need

    sources, count = _sources(folders), Counter()
    begin, end = _parse_time(after, -1 << 62), _parse_time(before, 1 << 62)
    if stops:
        stopped = settlement.StoppedCalls()
        for src in sources:
            for line in _lines(src, count):
                stopped.add_line(line)
        for src in sources:
            for relation in stopped.related_calls(_lines(src, Counter())):
                typer.echo(
                    f"{relation.what}: {' '.join(relation.first)} ({relation.answered[0]}) then "
                    f"{' '.join(relation.second)} ({relation.answered[1]})"
                )
        typer.echo(f"{sum(map(len, stopped.legs.values()))} calls cut by a stop, {len(stopped.doubts)} in doubt")
        return
    table = Table(*("proxy", "call", "ended", "type", "client", "server", "s", "how", "by", "answered"))
    shown = 0
    for src in sources:
        # The indices of the segments contain the name in the log, but not the Call-ID.
        indexed = list(find(src.files, call)) if len(call) == 16 else []
        for line in indexed or _lines(src, count):
            record = line.record
            ended = record.wall_us(record.ended_us)
            if (
                not begin <= ended < end
                or client
                and record.client != client
                or number
                and not record.number.startswith(number)
                or call
                and call not in (record.call, record.caller_leg)
            ):
                continue
            shown += 1
            if as_json:
                typer.echo(
                    json.dumps(
                        {
                            **dict(zip(exporter.SCHEMA.names, exporter.row_of(line), strict=True)),
                            "tries": [[t.server, t.outcome, t.at_us, t.took_us] for t in record.tries],
                        }
                    )
                )
            elif shown <= MAX_ROWS_SHOWN:
                at = datetime.datetime.fromtimestamp(ended / 1e6, datetime.UTC).strftime("%m-%d %H:%M:%S.%f")[:-3]
                table.add_row(
                    line.proxy,
                    record.call,
                    at,
                    record.call_type,
                    record.client,
                    record.server,
                    f"{record.answered_duration_us() / 1e6:.1f}",
                    record.how,
                    record.by,
                    record.answered,
                )
    if not as_json:
        Console(width=None if Console().is_terminal else 140).print(table)
        typer.echo(
            f"{shown} records"
            + (f", the first {MAX_ROWS_SHOWN} shown; --json shows all" if shown > MAX_ROWS_SHOWN else "")
        )
    _report_skipped(count)
    raise typer.Exit(1 if call and not shown else 0)


def _tariffs(path, settings):
    from thorndale.config.load import load as load_settings
    from thorndale.records.tariff import load

    try:
        types = [t.name for t in load_settings(settings).call_types] if settings else ()
        return load(path, types)
    except ConfigError as error:
        for text in error.problems:
            typer.echo(f"{error.where}: {text}", err=True)
        typer.echo(f"{len(error.problems)} errors, nothing was rated", err=True)
        raise typer.Exit(2) from None


@app.command()
def rate(
    folders: list[str] = FOLDERS,
    tariffs: str = typer.Option(..., help="The tariffs, JSON5, with the CSV files that they name in the same folder."),
    to: str = typer.Option(..., help="The folder of the editions."),
    settings: str = typer.Option("", help="A proxy's settings: the tariffs must have the same call types."),
):
    """Rates all records into a new edition, and reports the differences from the previous one."""
    rates = _tariffs(tariffs, settings)
    sources = _sources(folders)
    try:
        number, manifest = rated_editions.make(to, rates, sources, _lines)
    except (rated_editions.EditionError, OSError) as error:
        typer.echo(f"{to}: {error}; nothing there was changed", err=True)
        raise typer.Exit(1) from None
    counts = manifest["counts"]
    typer.echo(
        f"edition {number}: {counts.get('rated', 0)} records rated, {counts.get('unrated', 0)} unrated, "
        f"{counts.get('in doubt', 0)} in doubt, total {manifest['total']} {manifest['currency']}"
    )
    _report_skipped({k: v for k, v in counts.items() if k not in ("rated", "unrated", "in doubt")})
    earlier = [n for n in rated_editions.editions(to) if n < number]
    if earlier:
        try:
            path, count, sums = rated_editions.difference(to, earlier[-1], number)
        except rated_editions.EditionError as error:
            typer.echo(f"no difference to edition {earlier[-1]}: {error}", err=True)
            raise typer.Exit(1) from None
        typer.echo(
            f"against edition {earlier[-1]}: " + ", ".join(f"{k} {v}" for k, v in sorted(count.items())) + f"; {path}"
        )
        for (client, kind), (old, new) in sorted(sums.items()):
            if old != new:
                typer.echo(f"  {client or '-'} {kind}: {old} -> {new}")
    raise typer.Exit(1 if counts.get("unrated") else 0)


@app.command()
def export(
    folders: list[str] = FOLDERS,
    to: str = typer.Option(..., help="A folder for this export alone; repeating the command resumes the export."),
    after: str = typer.Option("", "--from", help="Calls that ended at this time or later, UTC."),
    before: str = typer.Option(..., "--until", help="Calls that ended before this time, which must be in the past."),
    client: str = typer.Option("", help="Only this client's."),
    form: str = typer.Option("csv", "--format", help="csv or parquet."),
    size: int = typer.Option(10_000, min=1, max=1_000_000, help="Maximum number of records in a batch."),
    url: str = typer.Option("", help="A collector that receives the batches by POST."),
    timeout: float = typer.Option(10.0, help="Timeout of one request in seconds."),
    limit: float = typer.Option(
        600.0, help="Seconds without progress after which the delivery stops; it can be resumed."
    ),
):
    """Exports records as batches with a manifest to a folder, and delivers them to a collector."""
    from thorndale.records import export as exporter
    from thorndale.records.send import deliver

    begin, end = _parse_time(after, -1 << 62), _parse_time(before, 1 << 62)
    if form not in ("csv", "parquet"):
        typer.echo(f"--format: {form!r} is neither csv nor parquet", err=True)
        raise typer.Exit(2)
    if end > time.time_ns() // 1000:
        typer.echo("--until is in the future: calls that end before it would be missing", err=True)
        raise typer.Exit(2)
    try:
        os.makedirs(to, exist_ok=True)
        state = exporter.DeliveryState(to)
    except LockedError:
        typer.echo(f"{to}: another export of this folder runs; wait for it or stop it", err=True)
        raise typer.Exit(1) from None
    except OSError as error:
        typer.echo(f"{to}: {error}", err=True)
        raise typer.Exit(1) from None
    try:
        manifest = exporter.make(to, _sources(folders), _lines, begin, end, client, form, size)
        typer.echo(
            f"{manifest['totals'].get('records', 0)} records in {len(manifest['batches'])} batches, export "
            f"{manifest['id']}"
        )
        _report_skipped(manifest["passed_over"])
        if not url:
            return
        stored_before = len(state.done)
        result, count, statuses = deliver(to, manifest, state, url, timeout, limit)
        typer.echo(
            f"{result}: {len(state.done)} of {len(manifest['batches']) + 1} stored, {stored_before} of them before; "
            + ", ".join(f"{k} {v}" for k, v in sorted(count.items()))
        )
        for number, status in sorted(statuses.items()):
            typer.echo(f"batch {number}: the collector answered {status} and rejects the batch", err=True)
        raise typer.Exit(0 if result == "done" else 1)
    except (exporter.ExportError, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from None
    finally:
        state.close()


@app.command()
def settle(
    folders: list[str] = FOLDERS,
    answered: str = typer.Option(
        "", help="A file of Call-IDs, one per line, that were answered according to the other side."
    ),
    unanswered: str = typer.Option("", help="A file of Call-IDs that were not answered according to the other side."),
    write: bool = typer.Option(False, help="Write the results; otherwise they are only printed."),
):
    """Settles calls in doubt by the records of another proxy, or by the lists of the other side."""
    sources, count, stopped = _sources(folders), Counter(), settlement.StoppedCalls()
    for src in sources:
        for line in _lines(src, count):
            stopped.add_line(line)
    related_calls = [m for src in sources for m in stopped.related_calls(_lines(src, Counter()))]
    try:
        resolutions, not_in_doubt = settlement.resolutions(
            stopped.doubts, related_calls, _read_call_ids(answered), _read_call_ids(unanswered), time.time_ns() // 1000
        )
    except ValueError as error:
        typer.echo(f"{error}; nothing was settled", err=True)
        raise typer.Exit(2) from None
    by_chain = {src.chain: src for src in sources}
    for (chain, call), resolution in sorted(resolutions.items()):
        if write:
            record_folder.add_resolution(
                by_chain[chain].files,
                "words-settle.rec",
                len(record_folder.resolutions(by_chain[chain].files)) + 1,
                resolution,
            )
        typer.echo(f"{call}: {resolution.word}, {resolution.why}")
    if not_in_doubt:
        typer.echo(f"{len(not_in_doubt)} listed calls are not in doubt here: {', '.join(not_in_doubt[:5])}", err=True)
    remaining = len(stopped.doubts) - len(resolutions)
    typer.echo(
        f"{len(stopped.doubts)} in doubt, {len(resolutions)} "
        + ("settled" if write else "can be settled (--write)")
        + f", {remaining} left"
    )
    raise typer.Exit(1 if remaining else 0)


def _read_call_ids(path):
    if not path:
        return set()
    try:
        with open(path, encoding="utf-8") as file:
            return {line.strip() for line in file if line.strip()}
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(2) from None


@app.command()
def erase(
    folder: str = typer.Argument(help="A record folder that no running proxy uses."),
    days: int = typer.Option(..., min=1, help="Age in days: segments whose last record is older are erased."),
):
    """Erases segments older than the given age and leaves tombstones in the chain."""
    src = _sources([folder])[0]
    try:
        src.files.lock()
        tombstones = record_folder.erase(src.files, time.time_ns() // 1000, days * 86_400_000_000)
    except (LockedError, OSError) as error:
        typer.echo(f"{folder}: {error}; a running proxy erases segments itself by records.keep_days", err=True)
        raise typer.Exit(1) from None
    finally:
        src.files.close()
    typer.echo(f"{len(tombstones)} segments erased, {sum(t.records for t in tombstones)} records")
