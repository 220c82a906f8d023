"""Entry point: `python -m thorndale.adapter` speaks the simulator's protocol on standard input and output."""

import sys

from thorndale.adapter.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
