"""Bounds on the state that callers can fill: how many items of each kind a proxy keeps, by its memory limit, and which
one is given up for one more. No I/O.
"""

from collections import OrderedDict
from typing import NamedTuple

ITEMS_PER_MB = 100  # with every kind of item at its bound, they take less than half of the memory limit
MIN_ITEMS, MAX_ITEMS = 2_000, 20_000


def items_within(memory_mb):
    """The bound on the items of one kind in a process with this memory limit."""
    return max(MIN_ITEMS, min(MAX_ITEMS, int(memory_mb * ITEMS_PER_MB)))


class Departed(NamedTuple):
    """The common owner of the items of connections that have ended."""

    confirmed: bool


CONFIRMED_DEPARTED, UNCONFIRMED_DEPARTED = Departed(True), Departed(False)


class FairBound:
    """Keeps at most `limit` items, each counted for one owner: a connection, or a `Departed`.

    At the limit, an item of an owner that is not `confirmed` is given up first, and among these the oldest one of the
    owner that holds the most. So an owner that fills the bound loses its own items and nobody else's. Times are in
    microseconds.
    """

    def __init__(self, limit):
        self.limit = limit
        self._owners, self._items = {}, {}  # {item: owner}; {owner: {item: when added}, oldest first}

    def __len__(self):
        return len(self._owners)

    def __contains__(self, item):
        return item in self._owners

    def add(self, now, item, owner):
        """Counts the item for this owner, from now on. Returns the item to be given up for it, or None."""
        self.remove(item)
        self._owners[item] = owner
        self._items.setdefault(owner, OrderedDict())[item] = now
        return self._victim(owner) if len(self._owners) > self.limit else None

    def remove(self, item):
        """Removes an item, if it is there."""
        if item not in self._owners:
            return
        owner = self._owners.pop(item)
        items = self._items[owner]
        del items[item]
        if not items:
            del self._items[owner]

    def owner_departed(self, owner):
        """Counts the items of a connection that has ended for all such connections together. Peers that connect again
        and again would otherwise hold many small parts, and their items outlive those of a steady caller."""
        items = self._items.pop(owner, None)
        if items is None:
            return
        departed = CONFIRMED_DEPARTED if owner.confirmed else UNCONFIRMED_DEPARTED
        self._owners.update(dict.fromkeys(items, departed))
        self._items.setdefault(departed, OrderedDict()).update(items)

    def added_until(self, at):
        """The oldest item of each owner that was added by then."""
        oldest = (next(iter(items.items())) for items in self._items.values())
        return [item for item, added_at in oldest if added_at <= at]

    def _victim(self, newcomer):
        """The oldest item of the owner that holds the most. An unconfirmed newcomer with more than the mean share
        gives up its own, which takes the same time for any number of owners."""
        share = len(self._owners) / len(self._items)
        owner = newcomer
        if newcomer.confirmed or len(self._items[newcomer]) <= share:
            owner = max(self._items, key=lambda other: (not other.confirmed, len(self._items[other])))
        return next(iter(self._items[owner]))
