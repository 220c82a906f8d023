"""The delivery of batches to a collector, without its network: what to send when, and what its answers mean.

    waiting --send--> out --stored, known--> done
    out --lost, late, busy, failed--> waiting, after a wait drawn between half and all of a bound that doubles
    out --refused--> stuck: the collector will never take it as it is; an operator must look

Each batch goes under an idempotency key that is made of its content, and the collector keeps the keys that it has
stored; so a batch whose answer was lost is sent again without doubling. `sent` twice is the normal case, not an error.
"""

from collections import Counter

FIRST_US, MOST_US = 200_000, 30_000_000  # us between two tries of one batch: from a hiccup to a restart of the far side
WINDOW = 4  # batches out at once: enough to hide the way there and back, few to be sent again after a fault

WAITING, OUT, DONE, STUCK = "waiting", "out", "done", "stuck"


class Delivery:
    """`total` batches, numbered from 0; `done` those that an earlier run saw stored; `chance()` is from 0 to 1."""

    def __init__(self, total, done, chance, limit_us, now):
        """`limit_us`: a batch without success for so long ends the run; what was done stays done."""
        self.state = [DONE if n in done else WAITING for n in range(total)]
        self.at, self.wait = [now] * total, [FIRST_US] * total
        self.chance, self.limit_us, self.progress_at = chance, limit_us, now
        self.count, self.why, self.first = Counter(), {}, 0

    def want(self, now):
        """Numbers of the batches to be sent now; they are out from now on."""
        while self.first < len(self.state) and self.state[self.first] == DONE:
            self.first += 1
        free = WINDOW - sum(1 for s in self.state[self.first : self.first + 4 * WINDOW] if s == OUT)
        found = []
        for n in range(self.first, min(len(self.state), self.first + 4 * WINDOW)):
            if len(found) >= free:
                break
            if self.state[n] == WAITING and self.at[n] <= now:
                self.state[n] = OUT
                self.count["sent"] += 1
                found.append(n)
        return found

    def answered(self, now, n, status, retry_after_us=0):
        """`status` of HTTP, or 0 where no answer came. Gives the batch's state."""
        if self.state[n] != OUT:
            return self.state[n]
        if 200 <= status < 300:
            self.state[n], self.progress_at = DONE, now
            self.count["done"] += 1
        elif status in (0, 408, 425, 429) or status >= 500:
            wait = self.wait[n]
            self.wait[n] = min(2 * wait, MOST_US)
            self.state[n] = WAITING
            self.at[n] = now + max(retry_after_us, int(wait * (0.5 + 0.5 * self.chance())))
            self.count["lost" if status == 0 else "put off"] += 1
        else:
            self.state[n], self.why[n] = STUCK, status
            self.count["stuck"] += 1
        return self.state[n]

    def next_at(self):
        waiting = [
            self.at[n]
            for n in range(self.first, min(len(self.state), self.first + 4 * WINDOW))
            if self.state[n] == WAITING
        ]
        return min(waiting) if waiting else None

    def over(self, now):
        """'' while it goes on; 'done', 'stuck' or 'no progress'."""
        if self.why:
            return "stuck"
        if all(s == DONE for s in self.state[self.first :]):
            return "done"
        return "no progress" if now - self.progress_at > self.limit_us else ""
