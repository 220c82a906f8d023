"""SIP without I/O: messages, headers, URIs, stream framing, transactions and dialogs (RFC 3261).

Bytes and whole microseconds come in, bytes and values come out. Nothing here opens a socket, reads a clock or
draws chance.
"""
