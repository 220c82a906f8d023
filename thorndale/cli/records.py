"""`thorndale records verify|show|rate|export|settle|erase`, over one proxy's folder or many.

Exit codes: 0 done and nothing found; 1 something was found or could not be done; 2 the input is wrong, nothing done.
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
from thorndale.records import editions as ed
from thorndale.records import folder as fo
from thorndale.records import settle as st
from thorndale.records.chain import verify as look
from thorndale.records.files import Files, LockedError
from thorndale.records.read import distinct, find, lines, source

app = typer.Typer(add_completion=False, no_args_is_help=True, help="Call records: check, show, rate, export, settle.")
FOLDERS = typer.Argument(help="Folders of records, one for each proxy.")
SHOWN = 50


def _sources(folders, tell=True):
    """Sources without copies, or exit code 2."""
    found = []
    for name in folders:
        if not os.path.isdir(name):
            typer.echo(f"{name}: is no folder; name the records.folder of a proxy", err=True)
            raise typer.Exit(2)
        found.append(source(name, Files(name)))
    kept, copies = distinct(found)
    for copy, of in copies:
        if tell:
            typer.echo(f"{copy}: is a copy of {of}, passed over", err=True)
    return kept


def _lines(src, count):
    return lines(src.files, count)


def _when(text, default):
    """us of wall time; a date, or date and time, UTC where no zone is told. Exit code 2 for anything else."""
    if not text:
        return default
    try:
        found = datetime.datetime.fromisoformat(text)
    except ValueError:
        typer.echo(f"{text!r} is no time; write 2026-12-01 or 2026-12-01T08:00:00", err=True)
        raise typer.Exit(2) from None
    if found.tzinfo is None:
        found = found.replace(tzinfo=datetime.UTC)
    return int(found.timestamp()) * 1_000_000 + found.microsecond


def _passed(count):
    found = {k: v for k, v in sorted(count.items()) if v and k != "records"}
    if found:
        typer.echo("passed over or open: " + ", ".join(f"{k} {v}" for k, v in found.items()), err=True)


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
    expect: str = typer.Option("", help="The last digest as noted earlier: it must still be in the chain's end."),
):
    """Checks every byte, the chain of segments and what was erased; names the place of each fault."""
    bad = False
    for name in folders:
        src = _sources([name])[0]
        try:
            check = look(fo.segments(src.files), fo.tombstones(src.files))
        except OSError as fault:
            typer.echo(f"{name}: {fault}", err=True)
            raise typer.Exit(1) from None
        findings = check.findings
        if check.open_tail and _in_use(src.files):  # a write under way: what lies there is not whole yet
            findings = [x for x in findings if x.name != check.open_tail or "cut short" not in x.what]
        for finding in findings:
            typer.echo(f"{name}: {finding}")
        digest = check.digest or "none"
        if expect and expect != digest:
            typer.echo(f"{name}: its last digest is {digest}, not the one expected")
            bad = True
        bad |= bool(findings)
        newer = f", {check.newer} frames of a newer version kept unread" if check.newer else ""
        tail = f", {check.open_tail} not sealed yet" if check.open_tail else ""
        typer.echo(
            f"{name}: {check.segments} segments, {check.erasures} erased, {check.frames} frames, "
            f"{check.bytes} bytes{tail}{newer}; last digest {digest}; "
            + (f"{len(findings)} faults" if findings else "sound")
        )
    raise typer.Exit(1 if bad else 0)


@app.command()
def show(
    folders: list[str] = FOLDERS,
    call: str = typer.Option("", help="Only this call: its name in the log, or its caller's Call-ID."),
    client: str = typer.Option("", help="Only this client's."),
    number: str = typer.Option("", help="Only calls to numbers that begin so."),
    after: str = typer.Option("", "--from", help="Only calls that ended at this time or later, UTC."),
    before: str = typer.Option("", "--until", help="Only calls that ended before it."),
    as_json: bool = typer.Option(False, "--json", help="One JSON object a line, with every field."),
    stops: bool = typer.Option(False, help="Only what stops cut, and the calls that followed from it."),
):
    """Shows records; a table at most of 50, or all as JSON lines."""
    from thorndale.records import export as ex  # it loads pyarrow, which a running proxy has no use for

    sources, count = _sources(folders), Counter()
    begin, end = _when(after, -1 << 62), _when(before, 1 << 62)
    if stops:
        found = st.StoppedCalls()
        for src in sources:
            for line in _lines(src, count):
                found.add_line(line)
        for src in sources:
            for meeting in found.related_calls(_lines(src, Counter())):
                typer.echo(
                    f"{meeting.what}: {' '.join(meeting.first)} ({meeting.answered[0]}) then "
                    f"{' '.join(meeting.second)} ({meeting.answered[1]})"
                )
        typer.echo(f"{sum(map(len, found.legs.values()))} calls cut by a stop, {len(found.doubts)} in doubt")
        return
    table = Table(*("proxy", "call", "ended", "type", "client", "server", "s", "how", "by", "answered"))
    shown = 0
    for src in sources:
        # A name in the log is found by the segments' indices; a Call-ID is not in them.
        quick = list(find(src.files, call)) if len(call) == 16 else []
        for line in quick or _lines(src, count):
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
                            **dict(zip(ex.SCHEMA.names, ex.row_of(line), strict=True)),
                            "tries": [[t.server, t.outcome, t.at_us, t.took_us] for t in record.tries],
                        }
                    )
                )
            elif shown <= SHOWN:
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
        typer.echo(f"{shown} records" + (f", the first {SHOWN} shown; --json shows all" if shown > SHOWN else ""))
    _passed(count)
    raise typer.Exit(1 if call and not shown else 0)


def _tariffs(path, settings):
    from thorndale.config.load import load as load_settings
    from thorndale.records.tariff import load

    try:
        types = [t.name for t in load_settings(settings).call_types] if settings else ()
        return load(path, types)
    except ConfigError as fault:
        for text in fault.faults:
            typer.echo(f"{fault.where}: {text}", err=True)
        typer.echo(f"{len(fault.faults)} faults, nothing was rated", err=True)
        raise typer.Exit(2) from None


@app.command()
def rate(
    folders: list[str] = FOLDERS,
    tariffs: str = typer.Option(..., help="The tariffs, JSON5, with CSV beside them where they name it."),
    to: str = typer.Option(..., help="The folder in which editions stand."),
    settings: str = typer.Option("", help="A proxy's settings: its call types must be those of the tariffs."),
):
    """Rates all records into a new edition, and tells what differs from the one before."""
    known = _tariffs(tariffs, settings)
    sources = _sources(folders)
    try:
        number, manifest = ed.make(to, known, sources, _lines)
    except (ed.EditionError, OSError) as fault:
        typer.echo(f"{to}: {fault}; nothing there was changed", err=True)
        raise typer.Exit(1) from None
    counts = manifest["counts"]
    typer.echo(
        f"edition {number}: {counts.get('rated', 0)} records rated, {counts.get('unrated', 0)} unrated, "
        f"{counts.get('in doubt', 0)} in doubt, total {manifest['total']} {manifest['currency']}"
    )
    _passed({k: v for k, v in counts.items() if k not in ("rated", "unrated", "in doubt")})
    before = [n for n in ed.editions(to) if n < number]
    if before:
        try:
            path, count, sums = ed.difference(to, before[-1], number)
        except ed.EditionError as fault:
            typer.echo(f"no difference to edition {before[-1]}: {fault}", err=True)
            raise typer.Exit(1) from None
        typer.echo(
            f"against edition {before[-1]}: " + ", ".join(f"{k} {v}" for k, v in sorted(count.items())) + f"; {path}"
        )
        for (client, kind), (old, new) in sorted(sums.items()):
            if old != new:
                typer.echo(f"  {client or '-'} {kind}: {old} -> {new}")
    raise typer.Exit(1 if counts.get("unrated") else 0)


@app.command()
def export(
    folders: list[str] = FOLDERS,
    to: str = typer.Option(..., help="A folder of this export's own; the same again goes on where it stood."),
    after: str = typer.Option("", "--from", help="Calls that ended at this time or later, UTC."),
    before: str = typer.Option(..., "--until", help="Calls that ended before it; must lie in the past."),
    client: str = typer.Option("", help="Only this client's."),
    form: str = typer.Option("csv", "--format", help="csv or parquet."),
    size: int = typer.Option(10_000, min=1, max=1_000_000, help="Records in a batch at most."),
    url: str = typer.Option("", help="A collector to which the batches go by POST."),
    timeout: float = typer.Option(10.0, help="Seconds that one request may take."),
    limit: float = typer.Option(600.0, help="Seconds without progress after which it gives up for now."),
):
    """Exports records as batches with a manifest, to a folder and on to a collector."""
    from thorndale.records import export as ex
    from thorndale.records.send import deliver

    begin, end = _when(after, -1 << 62), _when(before, 1 << 62)
    if form not in ("csv", "parquet"):
        typer.echo(f"--format: {form!r} is neither csv nor parquet", err=True)
        raise typer.Exit(2)
    if end > time.time_ns() // 1000:
        typer.echo("--until lies in the future: calls that end until then would be left out", err=True)
        raise typer.Exit(2)
    try:
        os.makedirs(to, exist_ok=True)
        state = ex.DeliveryState(to)
    except LockedError:
        typer.echo(f"{to}: another export of this folder runs; wait for it or stop it", err=True)
        raise typer.Exit(1) from None
    except OSError as fault:
        typer.echo(f"{to}: {fault}", err=True)
        raise typer.Exit(1) from None
    try:
        manifest = ex.make(to, _sources(folders), _lines, begin, end, client, form, size)
        typer.echo(
            f"{manifest['totals'].get('records', 0)} records in {len(manifest['batches'])} batches, export "
            f"{manifest['id']}"
        )
        _passed(manifest["passed_over"])
        if not url:
            return
        known = len(state.done)
        how, count, why = deliver(to, manifest, state, url, timeout, limit)
        typer.echo(
            f"{how}: {len(state.done)} of {len(manifest['batches']) + 1} stored, {known} of them before; "
            + ", ".join(f"{k} {v}" for k, v in sorted(count.items()))
        )
        for number, status in sorted(why.items()):
            typer.echo(f"batch {number}: the collector answered {status} and will not take it as it is", err=True)
        raise typer.Exit(0 if how == "done" else 1)
    except (ex.ExportError, OSError) as fault:
        typer.echo(str(fault), err=True)
        raise typer.Exit(1) from None
    finally:
        state.close()


@app.command()
def settle(
    folders: list[str] = FOLDERS,
    answered: str = typer.Option("", help="A file of Call-IDs, one a line, that the other side says were answered."),
    unanswered: str = typer.Option("", help="The same of those that were not."),
    write: bool = typer.Option(False, help="Write down what is found; else it is only told."),
):
    """Settles calls in doubt: by another proxy's records, or by the other side's lists."""
    sources, count, found = _sources(folders), Counter(), st.StoppedCalls()
    for src in sources:
        for line in _lines(src, count):
            found.add_line(line)
    related_calls = [m for src in sources for m in found.related_calls(_lines(src, Counter()))]
    try:
        resolutions, odd = st.resolutions(
            found.doubts, related_calls, _names(answered), _names(unanswered), time.time_ns() // 1000
        )
    except ValueError as fault:
        typer.echo(f"{fault}; nothing was settled", err=True)
        raise typer.Exit(2) from None
    by_chain = {src.chain: src for src in sources}
    for (chain, call), word in sorted(resolutions.items()):
        if write:
            fo.add_resolution(
                by_chain[chain].files, "words-settle.rec", len(fo.resolutions(by_chain[chain].files)) + 1, word
            )
        typer.echo(f"{call}: {word.word}, {word.why}")
    if odd:
        typer.echo(f"{len(odd)} listed calls are in no doubt here: {', '.join(odd[:5])}", err=True)
    left = len(found.doubts) - len(resolutions)
    typer.echo(
        f"{len(found.doubts)} in doubt, {len(resolutions)} "
        + ("settled" if write else "can be settled (--write)")
        + f", {left} left"
    )
    raise typer.Exit(1 if left else 0)


def _names(path):
    if not path:
        return set()
    try:
        with open(path, encoding="utf-8") as file:
            return {line.strip() for line in file if line.strip()}
    except (OSError, UnicodeDecodeError) as fault:
        typer.echo(f"{path}: {fault}", err=True)
        raise typer.Exit(2) from None


@app.command()
def erase(
    folder: str = typer.Argument(help="A folder of records that no running proxy uses."),
    days: int = typer.Option(..., min=1, help="Whole segments whose last record is older go."),
):
    """Erases what is past its age and leaves tombstones in the chain."""
    src = _sources([folder])[0]
    try:
        src.files.lock()
        done = fo.erase(src.files, time.time_ns() // 1000, days * 86_400_000_000)
    except (LockedError, OSError) as fault:
        typer.echo(f"{folder}: {fault}; a running proxy erases by its own records.keep_days", err=True)
        raise typer.Exit(1) from None
    finally:
        src.files.close()
    typer.echo(f"{len(done)} segments erased, {sum(t.records for t in done)} records")
