"""The package's one error."""


class PlatformError(Exception):
    """Something from a peer that cannot be used. `what` says what is wrong, `where` names the message or part."""

    def __init__(self, what, where=""):
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where
