"""Rated records as files. An edition is a folder written once; a new edition is written beside the earlier ones, and
the difference of two editions can be reported.

    edition-0001/lines-PROXY-CHAIN.csv   one line per record, in the order of the proxy's frames
    edition-0001/totals.csv              client, call type, calls, intervals, amount
    edition-0001/manifest.json           the tariffs' digest, each source's segments, counts, totals, digests
    difference-0001-0002.csv             records whose charge differs, and sums by client and call type

An edition holds no time of its making: the same records and tariffs give the same bytes.
"""

import csv
import hashlib
import json
import os
import re
import shutil
from collections import Counter
from decimal import Decimal

from thorndale.records.files import Files, LockedError
from thorndale.records.rate import Rater, ordered

EDITION = re.compile(r"^edition-(\d{4})$")
FIELDS = (
    "seq",
    "call",
    "caller_leg",
    "client",
    "call_type",
    "number",
    "server",
    "began_us",
    "stood_us",
    "ended_us",
    "seconds",
    "how",
    "by",
    "status",
    "answered",
    "intervals",
    "free",
    "tariffs",
    "amount",
    "why",
)


class EditionError(Exception):
    """An edition cannot be made or read; the text tells the operator what to do."""


def editions(folder):
    """Numbers of the existing editions, ascending."""
    if not os.path.isdir(folder):
        return []
    return sorted(int(found[1]) for found in map(EDITION.match, os.listdir(folder)) if found)


def make(folder, tariffs, sources, lines_of):
    """Rates all lines into the next edition; returns (its number, the manifest). `sources`: read.Source objects;
    `lines_of(source, count)` yields the Lines of one. An unfinished edition left by a kill is deleted."""
    os.makedirs(folder, exist_ok=True)
    lock = Files(folder)
    try:
        lock.lock()
    except LockedError:
        raise EditionError(f"{folder}: another rating writes here; wait for it") from None
    try:
        return _make(folder, tariffs, sources, lines_of)
    finally:
        lock.close()


def _make(folder, tariffs, sources, lines_of):
    number = (editions(folder) or [0])[-1] + 1
    staging = os.path.join(folder, "edition-new")
    shutil.rmtree(staging, ignore_errors=True)
    os.makedirs(staging)
    rater, writers, files, skipped = Rater(tariffs), {}, {}, Counter()
    try:
        for line in ordered([lines_of(source, skipped) for source in sources]):
            writer = writers.get(line.chain)
            if writer is None:
                name = f"lines-{line.proxy}-{line.chain}.csv"
                files[line.chain] = open(os.path.join(staging, name), "w", encoding="utf-8", newline="")  # noqa: SIM115
                writer = writers[line.chain] = csv.writer(files[line.chain], lineterminator="\n")
                writer.writerow(FIELDS)
            writer.writerow(row_of(line, rater.charge(line.record)))
    finally:
        for file in files.values():
            file.close()
    with open(os.path.join(staging, "totals.csv"), "w", encoding="utf-8", newline="") as file:
        out = csv.writer(file, lineterminator="\n")
        out.writerow(("client", "call_type", "calls", "intervals", "amount"))
        out.writerows(rater.summed())
    manifest = {
        "format": 1,
        "currency": tariffs.sheet.currency,
        "tariffs": tariffs.digest,
        "rounding": {
            "to": tariffs.sheet.rounding.to,
            "mode": tariffs.sheet.rounding.mode,
            "at": tariffs.sheet.rounding.at,
        },
        "sources": sorted([s.chain, s.segments] for s in sources if s.chain),
        "counts": dict(sorted((rater.counts + skipped).items())),
        "total": str(sum((row[4] for row in rater.summed()), Decimal(0))),
        "files": {name: digest(os.path.join(staging, name)) for name in sorted(os.listdir(staging))},
    }
    with open(os.path.join(staging, "manifest.json"), "w", encoding="utf-8") as file:
        json.dump(manifest, file, indent=1, sort_keys=True)
        file.write("\n")
    os.rename(staging, os.path.join(folder, f"edition-{number:04d}"))
    return number, manifest


def row_of(line, charge):
    record = line.record
    began, ended = record.wall_us(record.came_us), record.wall_us(record.ended_us)
    stood = record.wall_us(record.stood_us) if record.stood_us else ""
    return (
        line.seq,
        record.call,
        record.caller_leg,
        record.client,
        record.call_type,
        record.number,
        record.server,
        began,
        stood,
        ended,
        f"{record.answered_duration_us() / 1e6:.6f}",
        record.how,
        record.by,
        record.status,
        record.answered,
        charge.intervals,
        charge.free,
        "+".join(charge.tariffs),
        "" if charge.amount is None else charge.amount,
        charge.why,
    )


def digest(path):
    with open(path, "rb") as file:
        return hashlib.file_digest(file, "sha256").hexdigest()


def check(folder, number):
    """Descriptions of the defects in an edition's files."""
    base = os.path.join(folder, f"edition-{number:04d}")
    try:
        with open(os.path.join(base, "manifest.json"), encoding="utf-8") as file:
            expected = json.load(file)["files"]
    except (OSError, ValueError, KeyError) as error:
        return [f"{base}/manifest.json: {error}"]
    defects = []
    for name, expected_digest in expected.items():
        path = os.path.join(base, name)
        if not os.path.exists(path):
            defects.append(f"{path}: is missing")
        elif digest(path) != expected_digest:
            defects.append(f"{path}: was changed after it was written")
    return defects


def difference(folder, old, new):
    """Writes the difference of two editions; returns (its path, Counter, {(client, call type): [old, new]}). Runs in
    bounded memory: both editions are read in parallel, each chain in the order of its frames."""
    for number in (old, new):
        defects = check(folder, number)
        if defects:
            raise EditionError("; ".join(defects))
    bases = [os.path.join(folder, f"edition-{index:04d}") for index in (old, new)]
    names = sorted({index for base in bases for index in os.listdir(base) if index.startswith("lines-")})
    count, sums = Counter(), {}
    path = os.path.join(folder, f"difference-{old:04d}-{new:04d}.csv")
    with open(path, "w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(
            ("what", "lines", "seq", "call", "client", "call_type", "old", "new", "old_tariffs", "new_tariffs")
        )
        for name in names:
            for what, old_row, new_row in _joined(*(os.path.join(base, name) for base in bases)):
                present = new_row or old_row
                key = (present["client"], present["call_type"])
                pair = sums.setdefault(key, [Decimal(0), Decimal(0)])
                amounts = [row["amount"] if row else "" for row in (old_row, new_row)]
                for index, amount in enumerate(amounts):
                    pair[index] += Decimal(amount or 0)
                count[what] += 1
                if what != "same":
                    writer.writerow(
                        (
                            what,
                            name[6:-4],
                            present["seq"],
                            present["call"],
                            *key,
                            *amounts,
                            old_row["tariffs"] if old_row else "",
                            new_row["tariffs"] if new_row else "",
                        )
                    )
        for (client, kind), (old_row, new_row) in sorted(sums.items()):
            writer.writerow(("sum", "", "", "", client, kind, old_row, new_row, "", ""))
    return path, count, sums


def _joined(old, new):
    """Yields (what, old row, new row); `what` is same, changed, added or gone."""

    def rows(path):
        if os.path.exists(path):
            with open(path, encoding="utf-8", newline="") as file:
                yield from csv.DictReader(file)

    old_rows, new_rows = rows(old), rows(new)
    old_row, new_row = next(old_rows, None), next(new_rows, None)
    while old_row or new_row:
        if new_row is None or old_row is not None and int(old_row["seq"]) < int(new_row["seq"]):
            yield "gone", old_row, None
            old_row = next(old_rows, None)
        elif old_row is None or int(new_row["seq"]) < int(old_row["seq"]):
            yield "added", None, new_row
            new_row = next(new_rows, None)
        else:
            same = all(old_row[k] == new_row[k] for k in ("amount", "intervals", "free", "answered"))
            yield "same" if same else "changed", old_row, new_row
            old_row, new_row = next(old_rows, None), next(new_rows, None)
