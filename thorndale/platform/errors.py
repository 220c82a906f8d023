"""The error raised by this package."""


class PlatformError(Exception):
    """Unusable input from a peer or the configuration. `what` describes the error, `where` names the message or
    field."""

    def __init__(self, what, where=""):
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where
