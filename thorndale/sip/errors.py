"""The package's one error."""


class SipError(Exception):
    """Something from a peer that cannot be used.

    `what` says what is wrong, `where` names the header or part, `status` is the response that RFC 3261
    section 8.2 gives such a request (400 where nothing closer fits).
    """

    def __init__(self, what, where="", status=400):
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where, self.status = what, where, status
        self.message = None  # what could be read all the same, to answer it
