"""The log: one line of JSON for each event, by structlog, to a file or to standard error."""

import logging
import sys

import structlog


def open_log(settings, name):
    """`say(level, event, **fields)` and `close()`. Raises OSError where the file cannot be written."""
    path = settings.file
    stream = open(path, "a", buffering=1, encoding="utf-8") if path else sys.stderr  # noqa: SIM115 - closed by close()
    logger = structlog.wrap_logger(
        structlog.WriteLogger(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, settings.level.upper())),
        cache_logger_on_first_use=True,
    ).bind(proxy=name)
    methods = {level: getattr(logger, level) for level in ("debug", "info", "warning", "error")}

    def say(level, event, **fields):
        methods[level](event, **fields)

    return say, (stream.close if path else stream.flush)
