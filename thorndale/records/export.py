"""Exports records as CSV or Parquet batches, selected by time window and client, to a folder and over HTTP.

    export-NAME/batch-000000.csv    at most `size` records each, in the order of rating
    export-NAME/manifest.json       the window, each batch's digest and count, the totals; written last
    export-NAME/delivered.rec       frames, one for each batch that the collector has confirmed as stored

The window applies to the wall time at which calls ended; its end must be in the past, else a repeated export would hold
more records. All batches are complete before the first one is sent and never change afterwards.
"""

import csv
import datetime
import hashlib
import json
import os
from collections import Counter

import pyarrow as pa
import pyarrow.parquet as pq

from thorndale.records import frame as f
from thorndale.records.editions import digest
from thorndale.records.files import Files
from thorndale.records.rate import ordered

STATE = "delivered.rec"
SCHEMA = pa.schema(
    [
        ("proxy", pa.string()),
        ("chain", pa.string()),
        ("boot", pa.string()),
        ("seq", pa.int64()),
        ("call", pa.string()),
        ("caller_leg", pa.string()),
        ("server_leg", pa.string()),
        ("came", pa.timestamp("us", "UTC")),
        ("stood", pa.timestamp("us", "UTC")),
        ("ended", pa.timestamp("us", "UTC")),
        ("stood_us", pa.int64()),
        ("call_type", pa.string()),
        ("client", pa.string()),
        ("trunk_group", pa.string()),
        ("server", pa.string()),
        ("caller", pa.string()),
        ("number", pa.string()),
        ("rule", pa.string()),
        ("rules", pa.string()),
        ("revenue_class", pa.string()),
        ("priority_class", pa.string()),
        ("seizures", pa.int16()),
        ("tries", pa.string()),
        ("answered", pa.string()),
        ("status", pa.int16()),
        ("how", pa.string()),
        ("by", pa.string()),
        ("settled", pa.bool_()),
    ]
)


class ExportError(Exception):
    """The export cannot be made; the text tells the operator what to do."""


def row_of(line):
    """Values in the order of SCHEMA; times in us of wall time, None if unset."""
    r = line.record
    tries = ";".join(f"{t.server}:{t.outcome}:{t.took_us}" for t in r.tries)
    return (
        line.proxy,
        line.chain,
        line.boot,
        line.seq,
        r.call,
        r.caller_leg,
        r.server_leg,
        r.wall_us(r.came_us),
        r.wall_us(r.stood_us) if r.stood_us else None,
        r.wall_us(r.ended_us),
        r.answered_duration_us(),
        r.call_type,
        r.client,
        r.trunk_group,
        r.server,
        r.caller,
        r.number,
        r.rule,
        r.rules,
        r.revenue_class,
        r.priority_class,
        len(r.tries),
        tries,
        r.answered,
        r.status,
        r.how,
        r.by,
        line.settled,
    )


def make(folder, sources, lines_of, from_us, until_us, client, kind, size):
    """Writes the batches and the manifest, or reuses a complete export; returns the manifest.

    Raises ExportError if the folder holds a different export."""
    requested = {"from_us": from_us, "until_us": until_us, "client": client, "format": kind, "size": size}
    path = os.path.join(folder, "manifest.json")
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            manifest = json.load(file)
        if manifest["asked"] != requested:
            raise ExportError(f"{folder} holds another export; use a separate folder for each")
        for batch in manifest["batches"]:
            if digest(os.path.join(folder, batch["file"])) != batch["sha256"]:
                raise ExportError(
                    f"{folder}/{batch['file']} was changed after it was written; export into a new folder"
                )
        return manifest
    os.makedirs(folder, exist_ok=True)
    for name in os.listdir(folder):
        if name.startswith("batch-"):  # left by an export that stopped before its manifest: it is made anew
            os.unlink(os.path.join(folder, name))
    batches, rows_pending, skipped = [], [], Counter()
    totals = Counter()
    for line in ordered([lines_of(source, skipped) for source in sources]):
        ended = line.record.wall_us(line.record.ended_us)
        if not from_us <= ended < until_us or client and line.record.client != client:
            continue
        rows_pending.append(row_of(line))
        totals["records"] += 1
        totals["answered"] += line.record.answered == "yes"
        totals["stood_us"] += line.record.answered_duration_us()
        if len(rows_pending) == size:
            batches.append(_write(folder, len(batches), rows_pending, kind))
            rows_pending = []
    if rows_pending:
        batches.append(_write(folder, len(batches), rows_pending, kind))
    manifest = {
        "format": 1,
        "asked": requested,
        "batches": batches,
        "totals": dict(sorted(totals.items())),
        "passed_over": dict(sorted(skipped.items())),
        "id": hashlib.sha256(json.dumps([requested, batches], sort_keys=True).encode()).hexdigest()[:32],
    }
    fresh = path + ".new"
    with open(fresh, "w", encoding="utf-8") as file:
        json.dump(manifest, file, indent=1, sort_keys=True)
        file.write("\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    return manifest


def _write(folder, number, rows, kind):
    name = f"batch-{number:06d}.{kind}"
    path = os.path.join(folder, name)
    if kind == "csv":
        with open(path, "w", encoding="utf-8", newline="") as file:
            writer = csv.writer(file, lineterminator="\n")
            writer.writerow(SCHEMA.names)
            for row in rows:
                writer.writerow(_text(row))
    else:
        columns = list(zip(*rows, strict=True))
        table = pa.Table.from_arrays(
            [pa.array(column, type=field.type) for column, field in zip(columns, SCHEMA, strict=True)], schema=SCHEMA
        )
        pq.write_table(table, path, compression="zstd", store_schema=False)
    with open(path, "rb") as file:
        os.fsync(file.fileno())
    return {"file": name, "records": len(rows), "sha256": digest(path)}


TIMES = [n for n, field in enumerate(SCHEMA) if pa.types.is_timestamp(field.type)]


def _text(row):
    row = list(row)
    for n in TIMES:
        if row[n] is not None:
            row[n] = (
                datetime.datetime.fromtimestamp(row[n] / 1e6, datetime.UTC).strftime("%Y-%m-%dT%H:%M:%S.")
                + f"{row[n] % 1_000_000:06d}Z"
            )
    return row


class DeliveryState:
    """The batches that the collector has stored, persisted so that a later run continues after an interruption. Raises
    LockedError if another export of this folder is running."""

    def __init__(self, folder):
        self.files = Files(folder)
        self.files.lock()
        self.done = set()
        if STATE in self.files.names():
            end = 0
            for item in f.scan(self.files.read(STATE)):
                if isinstance(item, f.Frame):
                    self.done.add(item.seq)
                    end = item.end
            if end != self.files.size(STATE):  # the process was killed during a write: that batch is sent again
                self.files.cut(STATE, end)
        else:
            self.files.create(STATE)

    def stored(self, number):
        self.done.add(number)
        self.files.append(STATE, f.pack(f.RESOLUTION, number, b""))
        self.files.sync(STATE)

    def close(self):
        self.files.close()
