"""What the core of a border proxy requires of the sockets round it."""


class SocketActions:
    """Socket actions that the core requires; implemented by the shell of the process and by tests."""

    def to_caller(self, connection, data):
        """Whether the connection accepts the data: one that is closing does not."""

    def end_caller(self, connection):
        """Closes a caller's connection after its unsent data is written."""

    def connect(self, host, port):
        """Opens a connection to a central server and returns its key; `server_opened` or `server_lost` follows for
        it."""

    def to_server(self, key, data):
        """Whether the connection accepts the data."""

    def end_server(self, key): ...

    def log(self, event, **fields): ...
