"""The module's door in a host: calls by dense numbers, events gathered into one batch, actions out of it.

Calls are numbered here, and a number is used again once its call is over and its last seizure's end told.
"""

from thorndale import interface as io


class Door:
    """Events are gathered and handed over in one batch by `take`, which gives the actions."""

    def __init__(self, module):
        self.module = module
        self.calls, self.spare, self.events = [], [], []

    def __len__(self):
        """Calls that have a number."""
        return len(self.calls) - len(self.spare)

    def number(self, call):
        """A number for a call, to be given back by `release`."""
        if self.spare:
            index = self.spare.pop()
            self.calls[index] = call
            return index
        self.calls.append(call)
        return len(self.calls) - 1

    def release(self, index):
        self.calls[index] = None
        self.spare.append(index)

    def tell(self, event):
        self.events.append(event)

    def take(self, now):
        events, self.events = self.events, []
        return self.module.handle(now, events)

    def server_state(self, server):
        """What the list last said of a server: for logs and status, no decision is made on it."""
        module = self.module
        state = module.state[server] if server < len(module.state) else io.GONE
        return ("serving", "draining", "gone")[state]
