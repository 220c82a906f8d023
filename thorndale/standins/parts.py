"""Boxes and callers of a day in this process. `apart.Apart` does the same with several processes."""

from collections import Counter
from typing import NamedTuple

from thorndale.config.settings import Limits
from thorndale.net.clock import now_us
from thorndale.sip.transaction import TimerDurations
from thorndale.standins.box import Box
from thorndale.standins.callers import Callers
from thorndale.standins.onward import OnwardBox
from thorndale.standins.processor import Work
from thorndale.standins.pulse import Pulse
from thorndale.standins.traffic import Ledger, Traffic, draw, kinds_of

LIMITS = Limits(connections=4096)


def times_of(day):
    return TimerDurations(day.t1_ms * 1000, 8000 * day.t1_ms, 10_000 * day.t1_ms, 64_000 * day.t1_ms)


def work_of(day, box):
    """The processor's Work of a planned box."""
    return Work(
        setup_us=int(box.setup_ms * 1000),
        answer_us=int(box.setup_ms * 125),
        release_us=int(box.setup_ms * 125),
        reject_us=int(box.setup_ms * 90),
        queue_us=day.queue_ms * 1000,
        cold_from=day.cold_from,
        warm_us=day.warm_ms * 1000,
        fall_multiple=day.fall_multiple,
        fall_us=day.fall_ms * 1000,
    )


class Sorted:
    """Types that the proxies' rules gave set-ups, against the callers'."""

    def __init__(self, day):
        self.day, self.wrong, self.editions = day, 0, Counter()

    def __call__(self, number, sorted_):
        name, _, edition = sorted_.rpartition(" ")
        self.editions[edition] += 1
        self.wrong += not any(t.name == name and number.startswith(t.prefix) for t in self.day.types)


class OnwardPlan(NamedTuple):
    """How a box carries calls on: `number` of the box, from 1; its border proxy; the port that it calls from; seconds
    that its calls may take."""

    number: int
    proxy: tuple
    caller_port: int
    expires_s: int


class Some:
    """Boxes of these names and, if `callers` is their port, callers with their part of the calls."""

    def __init__(self, loop, day, saw, boxes, callers=0, proxies=(), calls=0, part=0, parts=1, onward=None):
        """`boxes`: {name: port}; `proxies`: their addresses, in order; `onward`: {name: OnwardPlan} of those boxes that
        carry calls on."""
        chance, times = draw(day.seed + 7919 * part), times_of(day)
        planned = {b.name: b for b in day.boxes}
        self.sorted = Sorted(day)
        self.boxes = {}
        for name, port in boxes.items():
            box = planned[name]
            given = (loop, LIMITS, name, box.transport, port, work_of(day, box), box.lines, chance, saw, times)
            plan = (onward or {}).get(name)
            self.boxes[name] = OnwardBox(*given, **plan._asdict(), progress=day.progress) if plan else Box(*given)
        kinds = kinds_of(day)
        self.ledger = Ledger(day, kinds)
        self.loop, self.saw = loop, saw
        self.callers = self.traffic = self.pulse = None
        if callers:
            self.callers = Callers(
                loop,
                LIMITS,
                callers,
                kinds,
                list(proxies),
                chance,
                self.ledger,
                saw,
                times,
                day.cancel_part,
                day.redials,
                f"caller:{part}x",
            )
            self.traffic = Traffic(day, self.callers, chance, calls, part, parts)

    def open(self):
        for box in self.boxes.values():
            box.note = self.sorted
            box.start(False)
        if self.callers:
            self.callers.start()
        calling = [box.onward for box in self.boxes.values() if isinstance(box, OnwardBox)]
        calling += [self.callers] if self.callers else []
        self.pulse = Pulse(self.loop, [agent.place for agent in calling], self.saw)

    async def run(self, began):
        self.ledger.began = began
        await self.traffic.run(began)
        return self.traffic.seconds

    def drive(self, values):
        for name, value in values.items():
            setattr(self.traffic, name, value)

    def quiet(self):
        return self.traffic is None or self.traffic.quiet()

    def hang_up_all(self):
        if self.callers:
            self.callers.hang_up_all(now_us())

    def figures(self):
        """Plain values: (counts, by second, set-up times; set-ups by box and second, waits by box; wrong types,
        editions; seconds of traffic; (connections held at most, opened) by box)."""
        book = self.ledger
        return (
            dict(book.count),
            {s: dict(row) for s, row in book.per_second.items()},
            book.lag,
            {n: b.setups for n, b in self.boxes.items()},
            {n: b.waits for n, b in self.boxes.items()},
            self.sorted.wrong,
            dict(self.sorted.editions),
            self.traffic.seconds if self.traffic else 0.0,
            {n: (b.held, b.opened) for n, b in self.boxes.items() if b.transport == "tcp"},
        )

    async def close(self):
        if self.pulse is not None:
            self.pulse.stop()
        for agent in (self.callers, *self.boxes.values()):
            if agent is not None:
                await agent.close()


class Here:
    """All parts in this process, under one loop."""

    def __init__(self, loop, day, saw, boxes, callers, proxies, calls, onward):
        self.some = Some(loop, day, saw, boxes, callers, proxies, calls, onward=onward)
        self.boxes = self.some.boxes
        self.callers = self.some.callers

    async def open(self):
        self.some.open()

    async def run(self, began):
        return await self.some.run(began)

    def drive(self, **values):
        self.some.drive(values)

    async def quiet(self):
        return self.some.quiet()

    def hang_up_all(self):
        self.some.hang_up_all()

    async def figures(self):
        return [self.some.figures()]

    async def seen(self, auditor, also):
        """All of it was told as it was seen."""

    async def close(self):
        await self.some.close()
