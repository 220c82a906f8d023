"""Entry point: `python -m thorndale.node` runs one border proxy, told what it is by GW_CONFIG, until SIGTERM.

Exit codes: 0 stopped; 1 it could not be opened; 2 what it was told is wrong and nothing was opened.
"""

import sys

from thorndale import signals


def main():
    signals.block()  # before the rest is loaded, which takes most of the start
    from thorndale.node.start import StartError, read_start

    try:
        path, config = read_start()
    except StartError as fault:
        print(f"thorndale.node: {fault}", file=sys.stderr)
        return 2
    from thorndale.node.shell import run  # after the check: a wrong start costs no more than reading it

    try:
        run(path, config)
    except StartError as fault:
        print(f"thorndale.node: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
