"""`thorndale run FILE` without the other commands of the command line, so that only the modules it needs are loaded."""

import sys

from thorndale.config.load import ConfigError, load, load_rule_set
from thorndale.daemon.run import StartError, run


def error_text(error):
    """The text of a ConfigError for standard error."""
    return error.rendered or "\n".join(f"{error.where}: {text}" for text in error.problems)


def main(path):
    """Runs one border proxy until SIGTERM. Returns the exit code: 0 stopped, 1 could not start, 2 invalid settings."""
    try:
        settings = load(path)
        rules = load_rule_set(settings, path)
    except ConfigError as error:
        print(error_text(error), file=sys.stderr)
        return 2
    try:
        run(settings, path, rules)
    except StartError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 1
    return 0
