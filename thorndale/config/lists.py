"""Sets and tables of the rules, kept in CSV or YAML files beside them.

CSV: one value a row for a set, prefix and value for a table; commas or semicolons; a byte order mark is passed over,
and so are empty lines and those that begin with '#'. YAML: a list, or a map. The whole file or none of it: every fault
names its row.
"""

import csv
import io
import os

MAX_LIST_FILE = 32 << 20  # bytes
FAULTS_MOST = 20  # faults of one file that are listed


class ListError(Exception):
    """A file that cannot be used; the text names the file, the row and what to do."""


def reader(folder):
    """`read(path, columns)`: rows of that many texts, from a file beside the rules. Raises ListError."""

    def read(path, columns):
        full = os.path.join(folder, path)
        try:
            with open(full, "rb") as file:
                data = file.read(MAX_LIST_FILE + 1)
        except OSError as fault:
            raise ListError(f"{path} cannot be read: {fault.strerror}") from None
        if len(data) > MAX_LIST_FILE:
            raise ListError(f"{path} is larger than {MAX_LIST_FILE} bytes")
        try:
            text = data.decode("utf-8-sig")
        except UnicodeDecodeError as fault:
            raise ListError(f"{path}: byte {fault.start} is no UTF-8; save it as UTF-8") from None
        rows = _yaml(path, text, columns) if path.endswith((".yaml", ".yml")) else _csv(path, text, columns)
        faults = [f"row {n}: {why}" for n, why in _faults(rows, columns)]
        if faults:
            more = f" and {len(faults) - FAULTS_MOST} more" if len(faults) > FAULTS_MOST else ""
            raise ListError(f"{path}: {'; '.join(faults[:FAULTS_MOST])}{more}")
        return [tuple(cells) for _, cells in rows]

    return read


def _csv(path, text, columns):
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    head = lines[0] if lines else ""
    delimiter = ";" if head.count(";") > head.count(",") else ","
    rows, source = [], csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    try:
        for cells in source:
            if cells and any(c.strip() for c in cells) and not cells[0].startswith("#"):
                rows.append((source.line_num, [c.strip() for c in cells]))
    except csv.Error as fault:
        raise ListError(f"{path}: row {source.line_num}: {fault}; is the file cut off?") from None
    if text and not text.endswith(("\n", "\r")):
        raise ListError(f"{path}: its last row has no line end; is the file cut off? End it with one if it is whole")
    return rows


def _yaml(path, text, columns):
    from ruamel.yaml import YAML  # a proxy without such a file starts without it
    from ruamel.yaml.error import YAMLError

    try:
        found = YAML(typ="safe", pure=True).load(text)
    except YAMLError as fault:
        mark = getattr(fault, "problem_mark", None)
        row, why = mark.line + 1 if mark else 1, getattr(fault, "problem", fault)
        raise ListError(f"{path}: row {row}: no YAML: {why}") from None
    if columns == 1 and isinstance(found, list):
        return [(n, [cell]) for n, cell in enumerate(found, 1)]
    if columns == 2 and isinstance(found, dict):
        return [(n, [key, value]) for n, (key, value) in enumerate(found.items(), 1)]
    raise ListError(f"{path}: should be {'a list' if columns == 1 else 'a map of prefixes to values'}")


def _faults(rows, columns):
    seen = {}
    if not rows:
        yield 1, "is empty"
    for n, cells in rows:
        if len(cells) != columns:
            yield n, f"has {len(cells)} columns, needs {columns}"
        elif not all(isinstance(c, str) for c in cells):
            yield n, f"{[c for c in cells if not isinstance(c, str)][0]!r} is no text; put it in quotes"
        elif not cells[0]:
            yield n, "its first column is empty"
        elif cells[0] in seen:
            yield n, f"{cells[0]!r} stands in row {seen[cells[0]]} already"
        else:
            seen[cells[0]] = n
