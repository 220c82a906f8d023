"""`python -m thorndale`: the command line. `run FILE` starts the daemon without loading the CLI.

Hundreds of proxies may start at once, so the start is kept cheap.
"""

import sys

if len(sys.argv) == 3 and sys.argv[1] == "run" and not sys.argv[2].startswith("-"):
    from thorndale import signals

    signals.block()  # before the slow import of the daemon: without handlers, a signal kills the process
    from thorndale.daemon.start import main

    sys.exit(main(sys.argv[2]))
from thorndale.cli.main import app

app()
