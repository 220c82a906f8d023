"""Delivery of batches to a collector, without the network: what to send when, and how answers change the state.

    waiting --send--> out --stored, known--> done
    out --lost, late, busy, failed--> waiting, for a random time from half of the retry interval to all of it; the
        interval doubles with each failure
    out --refused--> stuck: the collector rejects this content for good; an operator must look into it

The idempotency key of a batch is made from its content, and the collector remembers the keys that it has stored. A
batch whose answer was lost is therefore sent again without being stored twice; this is a normal case, not an error.
"""

from collections import Counter

# Interval between two attempts for one batch: from a brief failure to a restart of the collector.
INITIAL_RETRY_US, MAX_RETRY_US = 200_000, 30_000_000
WINDOW = 4  # batches in flight: enough to hide the round-trip time, few to be sent again after a failure

WAITING, IN_FLIGHT, DONE, STUCK = "waiting", "out", "done", "stuck"


class Delivery:
    """`total` batches, numbered from 0; `done`: those stored in earlier runs; `random_draw()` is in [0, 1)."""

    def __init__(self, total, done, random_draw, limit_us, now):
        """`limit_us`: the run ends if no batch is stored for this long; stored batches stay stored."""
        self.state = [DONE if n in done else WAITING for n in range(total)]
        self.send_at_us, self.retry_delay_us = [now] * total, [INITIAL_RETRY_US] * total
        self.random_draw, self.limit_us, self.progress_at = random_draw, limit_us, now
        self.count, self.refusals, self.first_unfinished = Counter(), {}, 0

    def next_batches(self, now):
        """Numbers of the batches to send now; marks them as in flight."""
        while self.first_unfinished < len(self.state) and self.state[self.first_unfinished] == DONE:
            self.first_unfinished += 1
        free = WINDOW - sum(
            1 for s in self.state[self.first_unfinished : self.first_unfinished + 4 * WINDOW] if s == IN_FLIGHT
        )
        selected = []
        for n in range(self.first_unfinished, min(len(self.state), self.first_unfinished + 4 * WINDOW)):
            if len(selected) >= free:
                break
            if self.state[n] == WAITING and self.send_at_us[n] <= now:
                self.state[n] = IN_FLIGHT
                self.count["sent"] += 1
                selected.append(n)
        return selected

    def take_answer(self, now, n, status, retry_after_us=0):
        """`status`: the HTTP status, or 0 if no answer arrived. Returns the batch's new state."""
        if self.state[n] != IN_FLIGHT:
            return self.state[n]
        if 200 <= status < 300:
            self.state[n], self.progress_at = DONE, now
            self.count["done"] += 1
        elif status in (0, 408, 425, 429) or status >= 500:
            retry_delay_us = self.retry_delay_us[n]
            self.retry_delay_us[n] = min(2 * retry_delay_us, MAX_RETRY_US)
            self.state[n] = WAITING
            self.send_at_us[n] = now + max(retry_after_us, int(retry_delay_us * (0.5 + 0.5 * self.random_draw())))
            self.count["lost" if status == 0 else "put off"] += 1
        else:
            self.state[n], self.refusals[n] = STUCK, status
            self.count["stuck"] += 1
        return self.state[n]

    def next_at(self):
        waiting = [
            self.send_at_us[n]
            for n in range(self.first_unfinished, min(len(self.state), self.first_unfinished + 4 * WINDOW))
            if self.state[n] == WAITING
        ]
        return min(waiting) if waiting else None

    def outcome(self, now):
        """'' while the run continues, else 'done', 'stuck' or 'no progress'."""
        if self.refusals:
            return "stuck"
        if all(s == DONE for s in self.state[self.first_unfinished :]):
            return "done"
        return "no progress" if now - self.progress_at > self.limit_us else ""
