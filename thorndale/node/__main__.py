"""Entry point: `python -m thorndale.node` runs one border proxy with the configuration of GW_CONFIG, until SIGTERM.

Exit codes: 0 stopped; 1 it could not be opened; 2 its environment or configuration is wrong and nothing was opened.
"""

import sys

from thorndale import signals


def main():
    signals.block()  # before the other imports, which take most of the start
    from thorndale.node.start import StartError, read_start

    try:
        path, config = read_start()
    except StartError as error:
        print(f"thorndale.node: {error}", file=sys.stderr)
        return 2
    from thorndale.node.shell import run  # after the check, so that a wrong start fails fast

    try:
        run(path, config)
    except StartError as error:
        print(f"thorndale.node: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
