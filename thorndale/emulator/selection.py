"""Server selection policies within a pool: baselines to compare the module's round robin with, used by the bench only.

Each is the decision module with the order of one pool's servers replaced; its other rules, such as the retry budget
and the choice of pools, are unchanged.

`make_module(selection, seed, settings, number, servers)` creates one. `servers` are the emulated servers, which
only the oracle reads.
"""

from thorndale.policy import Proxy

SUBSET_SIZE = 3  # servers of a pool that a proxy prefers under Subset


class _SelectionPolicy(Proxy):
    def _charge_turn(self, s, fit):
        pass

    def _shuffled(self, servers):
        """The servers in random order."""
        return sorted(servers, key=lambda s: self._random())


class ListOrder(_SelectionPolicy):
    """The order of the server list, which the module used before it had a round robin."""

    def _round_robin(self, pool):
        return self.by_pool.get(pool, ())


class RandomOrder(_SelectionPolicy):
    """A uniformly random server."""

    def _round_robin(self, pool):
        return self._shuffled(self.by_pool.get(pool, ()))


class TwoByOwnCalls(_SelectionPolicy):
    """Of two random servers, the one with fewer own calls in flight (Mitzenmacher 2001; Vvedenskaya, Dobrushin and
    Karpelevich 1996)."""

    def _round_robin(self, pool):
        shuffled = self._shuffled(self.by_pool.get(pool, ()))
        return sorted(shuffled[:2], key=lambda s: len(self.in_flight[s])) + shuffled[2:]


class TwoByReportedWait(_SelectionPolicy):
    """Of two random servers, the one with the shorter last reported queueing delay (Mitzenmacher 2000 on old
    information)."""

    def _round_robin(self, pool):
        shuffled = self._shuffled(self.by_pool.get(pool, ()))
        return sorted(shuffled[:2], key=self._reported_wait) + shuffled[2:]

    def _reported_wait(self, s):
        return self.last_report[s].wait_us if self.last_report[s] else 0


class LeastReportedWait(TwoByReportedWait):
    """The server with the least reported queueing delay of all. All proxies herd to it until the next report."""

    def _round_robin(self, pool):
        return sorted(self._shuffled(self.by_pool.get(pool, ())), key=self._reported_wait)


class WeightedRandom(_SelectionPolicy):
    """A random server by the learned weights, independently for each call."""

    def _round_robin(self, pool):
        servers = self.by_pool.get(pool, ())
        return sorted(servers, key=lambda s: -(max(self._random(), 1e-9) ** (1 / self.weight[s])))


class EqualRoundRobin(Proxy):
    """The module's round robin without learned weights."""

    def _update_weight(self, s, wait):
        pass


class Subset(Proxy):
    """Deterministic subsetting: round robin over a few servers of the pool, then over the others. The subsets differ by
    proxy and cover the pool evenly: each round of proxies shares out one shuffled order of the servers (Beyer et al.,
    Site Reliability Engineering, 2016, chapter 20)."""

    number = 0

    def _round_robin(self, pool):
        servers = self.by_pool.get(pool, ())
        if len(servers) <= SUBSET_SIZE:
            return super()._round_robin(pool)
        places = len(servers) // SUBSET_SIZE
        rounds, place = divmod(self.number, places)
        random_state, order = rounds * 2654435761 + 97, list(servers)
        for n in range(len(order) - 1, 0, -1):
            random_state = (random_state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
            other = (random_state >> 33) % (n + 1)
            order[n], order[other] = order[other], order[n]
        own = set(order[place * SUBSET_SIZE : (place + 1) * SUBSET_SIZE])
        return sorted(super()._round_robin(pool), key=lambda s: s not in own)


class ShortestQueue(_SelectionPolicy):
    """An oracle: the shortest true delay now, queueing delay plus the time that a set-up takes there."""

    servers = ()

    def _round_robin(self, pool):
        def expected_delay_us(s):
            processor = self.servers[s].processor
            work = processor.work.setup_us * processor.slowness / processor.warmth(self.now)
            return processor.wait(self.now) + work

        return sorted(self._shuffled(self.by_pool.get(pool, ())), key=expected_delay_us)


SELECTION_POLICIES = {
    "": Proxy,
    "list": ListOrder,
    "even": RandomOrder,
    "two own": TwoByOwnCalls,
    "two told": TwoByReportedWait,
    "least told": LeastReportedWait,
    "drawn": WeightedRandom,
    "dealt": EqualRoundRobin,
    "subset": Subset,
    "oracle": ShortestQueue,
}


def make_module(selection, seed, settings, number, servers):
    proxy_module = SELECTION_POLICIES[selection](seed, settings)
    if selection == "subset":
        proxy_module.number = number
    elif selection == "oracle":
        proxy_module.servers = servers
    return proxy_module
