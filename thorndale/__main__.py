"""`python -m thorndale`: the command line. `run FILE` goes straight to the daemon: hundreds may start at once."""

import sys

if len(sys.argv) == 3 and sys.argv[1] == "run" and not sys.argv[2].startswith("-"):
    from thorndale import signals

    signals.block()  # before the daemon is loaded, which takes most of the start
    from thorndale.daemon.start import main

    sys.exit(main(sys.argv[2]))
from thorndale.cli.main import app

app()
