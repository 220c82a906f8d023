"""Makes the shared test helpers (tests/kit.py) importable from every test folder."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
