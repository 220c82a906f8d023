"""What a scale test leaves: one JSON file in docs/bench/, read by `bench.scale.capacity`."""

import json
import os
import sys
import time
from pathlib import Path

from bench.scale.fit import fit
from bench.scale.limits import MachineLimitError

FOLDER = Path(__file__).resolve().parents[2] / "docs" / "bench"
REFUSED = 2  # exit code where the machine does not allow the test


def path_of(name, folder=FOLDER):
    return Path(folder) / f"scale-{name}.json"


def slope(rows, size, value, target):
    """The fit of one column against another, with the value at the target size."""
    found = fit([row[size] for row in rows], [row[value] for row in rows])
    return {
        "of": value,
        "by": size,
        "law": found.law,
        "terms": found.terms,
        "residual": round(found.residual, 4),
        "target": target,
        "at_target": round(found.at(target), 6),
        "text": found.text(),
    }


def write(name, rows, slopes, seconds, out="", **more):
    """Writes the file whole or not at all, and says where."""
    path = Path(out) if out else path_of(name)
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
    half = path.with_suffix(".half")
    half.write_text(json.dumps(content, indent=0) + "\n", encoding="utf-8")
    half.replace(path)
    print(f"{path.name}: {len(rows)} rows in {seconds:.0f} s")


def run(main):
    """Runs a test's `main()`; one plain line and exit code 2 where the machine does not allow it."""
    try:
        main()
    except MachineLimitError as fault:
        print(f"refused before anything was started: {fault}", file=sys.stderr)
        sys.exit(REFUSED)


def timed(play, job):
    """play(job) and the seconds it took."""
    began = time.monotonic()
    return play(job), time.monotonic() - began
