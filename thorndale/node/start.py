"""Reads the environment of a border proxy: the configuration's path and text."""

import os

from thorndale.platform.config import read
from thorndale.platform.errors import PlatformError


class StartError(Exception):
    """Why the border proxy cannot start, with what to do."""


def read_file(path):
    """The Config of a file. Raises StartError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        cause = getattr(error, "strerror", None) or "it is not UTF-8"
        raise StartError(f"GW_CONFIG: {path} cannot be read: {cause}; name a readable file") from None
    try:
        return read(text)
    except PlatformError as error:
        raise StartError(f"{path}: {error}; correct the file") from None


def read_start(environ=os.environ):
    """(path, Config). Raises StartError."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise StartError("GW_CONFIG is not set; set it to the path of the configuration")
    return path, read_file(path)
