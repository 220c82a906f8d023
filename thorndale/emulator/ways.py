"""Ways of choosing among the servers of a pool, to hold the module's own against: baselines for the bench alone.

Each is the very module with the order of one pool's servers replaced; guards, budget, pools and all else stay.
`module(way, seed, settings, number, servers)` makes one; `servers` are the emulator's, for the oracle alone.
"""

from thorndale.policy import Proxy

SUBSET = 3  # servers of a pool that a proxy keeps to, where it keeps to some


class _Way(Proxy):
    def _charge_turn(self, s, fit):
        pass

    def _drawn(self, servers):
        """All of them, in an order drawn by a fresh key for each."""
        return sorted(servers, key=lambda s: self._random())


class ListOrder(_Way):
    """The order of the list: what the module did before it dealt."""

    def _round_robin(self, pool):
        return self.by_pool.get(pool, ())


class Even(_Way):
    """Drawn evenly."""

    def _round_robin(self, pool):
        return self._drawn(self.by_pool.get(pool, ()))


class TwoOwn(_Way):
    """Two drawn, the better by own calls out (Mitzenmacher 2001; Vvedenskaya, Dobrushin and Karpelevich 1996)."""

    def _round_robin(self, pool):
        drawn = self._drawn(self.by_pool.get(pool, ()))
        return sorted(drawn[:2], key=lambda s: len(self.in_flight[s])) + drawn[2:]


class TwoTold(_Way):
    """Two drawn, the better by the wait last told (Mitzenmacher 2000 on old information)."""

    def _round_robin(self, pool):
        drawn = self._drawn(self.by_pool.get(pool, ()))
        return sorted(drawn[:2], key=self._told) + drawn[2:]

    def _told(self, s):
        return self.last_report[s].wait_us if self.last_report[s] else 0


class LeastTold(TwoTold):
    """The least told wait of all: the known herd."""

    def _round_robin(self, pool):
        return sorted(self._drawn(self.by_pool.get(pool, ())), key=self._told)


class Drawn(_Way):
    """Drawn by the learned shares, each call alone."""

    def _round_robin(self, pool):
        servers = self.by_pool.get(pool, ())
        return sorted(servers, key=lambda s: -(max(self._random(), 1e-9) ** (1 / self.weight[s])))


class Dealt(Proxy):
    """Dealt, as the module does, but without learning shares."""

    def _update_weight(self, s, wait):
        pass


class Subset(Proxy):
    """Dealt among a few servers of the pool, which differ from proxy to proxy and cover all evenly: in rounds of as
    many proxies as it takes, each round in an order of its own (Beyer et al., Site Reliability Engineering, 2016,
    chapter 20). The others come after them."""

    number = 0

    def _round_robin(self, pool):
        servers = self.by_pool.get(pool, ())
        if len(servers) <= SUBSET:
            return super()._round_robin(pool)
        places = len(servers) // SUBSET
        rounds, place = divmod(self.number, places)
        state, order = rounds * 2654435761 + 97, list(servers)
        for n in range(len(order) - 1, 0, -1):
            state = (state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
            other = (state >> 33) % (n + 1)
            order[n], order[other] = order[other], order[n]
        own = set(order[place * SUBSET : (place + 1) * SUBSET])
        return sorted(super()._round_robin(pool), key=lambda s: s not in own)


class Queues(_Way):
    """An oracle: the shortest true wait now, by the time a set-up takes there."""

    servers = ()

    def _round_robin(self, pool):
        def until(s):
            processor = self.servers[s].processor
            work = processor.work.setup_us * processor.slowness / processor.warmth(self.now)
            return processor.wait(self.now) + work

        return sorted(self._drawn(self.by_pool.get(pool, ())), key=until)


WAYS = {
    "": Proxy,
    "list": ListOrder,
    "even": Even,
    "two own": TwoOwn,
    "two told": TwoTold,
    "least told": LeastTold,
    "drawn": Drawn,
    "dealt": Dealt,
    "subset": Subset,
    "oracle": Queues,
}


def module(way, seed, settings, number, servers):
    made = WAYS[way](seed, settings)
    if way == "subset":
        made.number = number
    elif way == "oracle":
        made.servers = servers
    return made
