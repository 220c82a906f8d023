"""The only exception that this package raises for bad input."""


class SipError(Exception):
    """Input from a peer that is malformed or not supported.

    `what` describes the error, `where` names the header or the part of the message, `status` is the response code
    that RFC 3261 section 8.2 prescribes for such a request (400 where no other code is closer).
    """

    def __init__(self, what, where="", status=400):
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where, self.status = what, where, status
        self.message = None  # the message as far as it was parsed, from which an error response can be built
