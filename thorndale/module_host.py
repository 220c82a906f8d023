"""Hosts a decision module: gives calls dense indices, batches events for the module and returns its actions.

The index of a call is reused once the call is over and the end of its last seizure has been reported.
"""

from thorndale import interface as io


class ModuleHost:
    """Collects events and passes them to the module in one batch with `run_batch`, which returns the actions."""

    def __init__(self, module):
        self.module = module
        self.calls, self.free_indices, self.events = [], [], []

    def __len__(self):
        """The number of calls that have an index."""
        return len(self.calls) - len(self.free_indices)

    def assign_index(self, call):
        """Assigns an index to a call, to be returned with `release_index`."""
        if self.free_indices:
            index = self.free_indices.pop()
            self.calls[index] = call
            return index
        self.calls.append(call)
        return len(self.calls) - 1

    def release_index(self, index):
        self.calls[index] = None
        self.free_indices.append(index)

    def add_event(self, event):
        self.events.append(event)

    def run_batch(self, now):
        events, self.events = self.events, []
        return self.module.handle(now, events)

    def server_state(self, server):
        """The state of a server in the latest server list, for logs and status only; decisions don't read it."""
        module = self.module
        state = module.state[server] if server < len(module.state) else io.GONE
        return ("serving", "draining", "gone")[state]
