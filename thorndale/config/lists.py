"""Reads the sets and tables of the rules from CSV or YAML files in the folder of the rules.

CSV: one value per row for a set, prefix and value for a table; separated by commas or semicolons. A byte order mark,
empty lines and lines that begin with '#' are ignored. YAML: a list for a set, a map for a table. A file with a problem
is rejected as a whole; every problem names its row.
"""

import csv
import io
import os

MAX_LIST_FILE_BYTES = 32 << 20
MAX_LISTED_PROBLEMS = 20  # problems listed per file


class ListError(Exception):
    """The file cannot be used; the text names the file, the row and the remedy."""


def make_list_reader(folder):
    """Returns `read(path, columns)`, which reads rows of `columns` strings from a file in `folder` and raises
    ListError."""

    def read(path, columns):
        full_path = os.path.join(folder, path)
        try:
            with open(full_path, "rb") as file:
                data = file.read(MAX_LIST_FILE_BYTES + 1)
        except OSError as error:
            raise ListError(f"{path} cannot be read: {error.strerror}") from None
        if len(data) > MAX_LIST_FILE_BYTES:
            raise ListError(f"{path} is larger than {MAX_LIST_FILE_BYTES} bytes")
        try:
            text = data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            raise ListError(f"{path}: byte {error.start} is no UTF-8; save the file as UTF-8") from None
        rows = _yaml(path, text, columns) if path.endswith((".yaml", ".yml")) else _csv(path, text, columns)
        problems = [f"row {row_number}: {problem}" for row_number, problem in _row_problems(rows, columns)]
        if problems:
            more = f" and {len(problems) - MAX_LISTED_PROBLEMS} more" if len(problems) > MAX_LISTED_PROBLEMS else ""
            raise ListError(f"{path}: {'; '.join(problems[:MAX_LISTED_PROBLEMS])}{more}")
        return [tuple(cells) for _, cells in rows]

    return read


def _csv(path, text, columns):
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    first_line = lines[0] if lines else ""
    delimiter = ";" if first_line.count(";") > first_line.count(",") else ","
    rows, parser = [], csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    try:
        for cells in parser:
            if cells and any(c.strip() for c in cells) and not cells[0].startswith("#"):
                rows.append((parser.line_num, [c.strip() for c in cells]))
    except csv.Error as error:
        raise ListError(f"{path}: row {parser.line_num}: {error}; is the file cut off?") from None
    if text and not text.endswith(("\n", "\r")):
        raise ListError(
            f"{path}: the last row has no line end; is the file cut off? If it is complete, end it with a newline"
        )
    return rows


def _yaml(path, text, columns):
    from ruamel.yaml import YAML  # imported here: only proxies with YAML lists load it
    from ruamel.yaml.error import YAMLError

    try:
        content = YAML(typ="safe", pure=True).load(text)
    except YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        row, reason = mark.line + 1 if mark else 1, getattr(error, "problem", error)
        raise ListError(f"{path}: row {row}: invalid YAML: {reason}") from None
    if columns == 1 and isinstance(content, list):
        return [(n, [cell]) for n, cell in enumerate(content, 1)]
    if columns == 2 and isinstance(content, dict):
        return [(n, [key, value]) for n, (key, value) in enumerate(content.items(), 1)]
    raise ListError(f"{path}: should be {'a list' if columns == 1 else 'a map of prefixes to values'}")


def _row_problems(rows, columns):
    first_rows = {}
    if not rows:
        yield 1, "is empty"
    for n, cells in rows:
        if len(cells) != columns:
            yield n, f"has {len(cells)} columns, needs {columns}"
        elif not all(isinstance(c, str) for c in cells):
            yield n, f"{[c for c in cells if not isinstance(c, str)][0]!r} is no text; put the value in quotes"
        elif not cells[0]:
            yield n, "its first column is empty"
        elif cells[0] in first_rows:
            yield n, f"{cells[0]!r} is already in row {first_rows[cells[0]]}"
        else:
            first_rows[cells[0]] = n
