"""Overload control of this proxy: refuses new calls early and cheaply while the process is overloaded.

The decision module judges the central servers; it cannot detect that its own process is behind. A late answer is
worthless to a caller, so a delayed event loop refuses new calls first, with a response that creates no transaction.

A retransmitted datagram must get the same refusal again (RFC 3261 section 8.2.7), even if there is capacity by then:
otherwise one call would get two different answers. A hash of each refused request is therefore stored for as long as
the request may be retransmitted.
"""

# How long a measured loop delay counts as current: a few timer intervals. With a longer time, one short stall would
# refuse many calls.
LOOP_DELAY_VALID_US = 500_000
# Fraction of the delay limit below which calls are accepted again. Between the two the last decision is kept.
RESUME_FRACTION = 0.5
# Refused requests stored in each of the two sets. At the bound the older set is dropped early, and a retransmission
# of one of its requests may be taken for a new call.
MAX_REFUSALS_PER_SET = 200_000


class OverloadControl:
    """`delay_limit_us`: event loop delay from which new calls are refused; 0 turns this off. `max_open_calls`:
    bound on concurrent calls. `retransmit_us`: how long a request may be retransmitted, 64 * T1."""

    __slots__ = (
        "delay_limit_us",
        "max_open_calls",
        "retransmit_us",
        "loop_delay_us",
        "loop_delay_at",
        "refusing",
        "refused",
        "recent_keys",
        "previous_keys",
        "rotated_at",
    )

    def __init__(self, delay_limit_us, max_open_calls, retransmit_us):
        self.delay_limit_us, self.max_open_calls, self.retransmit_us = delay_limit_us, max_open_calls, retransmit_us
        self.recent_keys, self.previous_keys, self.rotated_at = set(), set(), 0
        self.loop_delay_us, self.loop_delay_at, self.refusing, self.refused = 0, 0, False, 0

    def record_loop_delay(self, now, delay_us):
        """Records how late the event loop ran something that was due. The largest delay counts until it is
        LOOP_DELAY_VALID_US old."""
        if delay_us >= self.loop_delay_us or now - self.loop_delay_at > LOOP_DELAY_VALID_US:
            self.loop_delay_us, self.loop_delay_at = delay_us, now

    def should_refuse(self, now, open_now):
        """Whether to refuse a new call at once."""
        if self.delay_limit_us:
            loop_delay_us = self.loop_delay_us if now - self.loop_delay_at <= LOOP_DELAY_VALID_US else 0
            if loop_delay_us >= self.delay_limit_us:
                self.refusing = True
            elif loop_delay_us < self.delay_limit_us * RESUME_FRACTION:
                self.refusing = False
        if self.refusing or open_now >= self.max_open_calls:
            self.refused += 1
            return True
        return False

    def remember_refusal(self, now, key):
        """Stores the hash of a refused request."""
        if now - self.rotated_at >= self.retransmit_us or len(self.recent_keys) >= MAX_REFUSALS_PER_SET:
            self.recent_keys, self.previous_keys, self.rotated_at = set(), self.recent_keys, now
        self.recent_keys.add(key)

    def was_refused(self, key):
        """Whether the request with this hash was refused within the retransmission window."""
        return key in self.recent_keys or key in self.previous_keys
