"""SIP without I/O: messages, headers, URIs, stream framing, transactions and dialogs (RFC 3261).

The input is bytes and times in whole microseconds, the output is bytes and values. Nothing here opens a socket,
reads a clock or draws random numbers, so every run can be reproduced.
"""
