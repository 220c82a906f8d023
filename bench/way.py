"""Runs a border proxy with another server choice strategy, for benchmarks: `python bench/way.py WAY run FILE`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))  # this file is run as a script, without an installed package

from thorndale.call import decision
from thorndale.daemon.start import main
from thorndale.emulator.selection import SELECTION_POLICIES

if __name__ == "__main__":
    decision.Proxy = SELECTION_POLICIES[sys.argv[1]]
    sys.exit(main(sys.argv[3]))
