"""`thorndale run FILE`, without the command line's other commands: what does not serve is not loaded."""

import sys

from thorndale.config.load import ConfigError, load, matching
from thorndale.daemon.run import StartError, run


def shown(fault):
    """A ConfigError as it is told to whoever called."""
    return fault.shown or "\n".join(f"{fault.where}: {text}" for text in fault.faults)


def main(path):
    """Runs one border proxy until SIGTERM. Gives the exit code: 1 it could not start, 2 the settings are wrong."""
    try:
        settings = load(path)
        rules = matching(settings, path)
    except ConfigError as fault:
        print(shown(fault), file=sys.stderr)
        return 2
    try:
        run(settings, path, rules)
    except StartError as fault:
        print(f"{path}: {fault}", file=sys.stderr)
        return 1
    return 0
