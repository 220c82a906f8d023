"""Writes the result of a scale test: one JSON file in docs/bench/, read by `bench.scale.capacity`."""

import json
import os
import sys
import time
from pathlib import Path

from bench.scale.fit import fit
from bench.scale.limits import MachineLimitError

RESULTS_FOLDER = Path(__file__).resolve().parents[2] / "docs" / "bench"
EXIT_REFUSED = 2  # exit code if the machine does not allow the test


def result_path(name, folder=RESULTS_FOLDER):
    return Path(folder) / f"scale-{name}.json"


def slope(rows, size, value, target):
    """The fit of the column `value` against the column `size`, with the fitted value at the target size."""
    fitted = fit([row[size] for row in rows], [row[value] for row in rows])
    return {
        "of": value,
        "by": size,
        "law": fitted.law,
        "terms": fitted.terms,
        "residual": round(fitted.residual, 4),
        "target": target,
        "at_target": round(fitted.at(target), 6),
        "text": fitted.text(),
    }


def write(name, rows, slopes, seconds, out="", **more):
    """Writes the result file atomically, and prints its name."""
    path = Path(out) if out else result_path(name)
    content = {
        "test": name,
        "command": " ".join(["python -m", f"bench.scale.{name}", *sys.argv[1:]]),
        "cores": os.cpu_count(),
        "load_before": round(os.getloadavg()[0], 1),
        "seconds": round(seconds, 1),
        **more,
        "slopes": slopes,
        "rows": rows,
    }
    temporary = path.with_suffix(".half")
    temporary.write_text(json.dumps(content, indent=0) + "\n", encoding="utf-8")
    temporary.replace(path)
    print(f"{path.name}: {len(rows)} rows in {seconds:.0f} s")


def run(main):
    """Runs a test's `main()`; prints one line and exits with code 2 if the machine does not allow the test."""
    try:
        main()
    except MachineLimitError as error:
        print(f"refused, nothing was started: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)


def timed(play, job):
    """Returns play(job) and the seconds it took."""
    started_at = time.monotonic()
    return play(job), time.monotonic() - started_at
