"""A border proxy with another way of choosing among a pool's servers: `python bench/way.py WAY run FILE`. For the bench."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))  # run as a script, not installed

from thorndale.call import decision
from thorndale.daemon.start import main
from thorndale.emulator.selection import SELECTION_POLICIES

if __name__ == "__main__":
    decision.Proxy = SELECTION_POLICIES[sys.argv[1]]
    sys.exit(main(sys.argv[3]))
