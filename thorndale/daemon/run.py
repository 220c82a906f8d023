"""One border proxy's life: opened in order, run until SIGTERM or SIGINT, emptied, closed in the other order."""

import asyncio
import contextlib
import gc
import os
import secrets
import time

import uvloop

from thorndale import signals
from thorndale.call.border import Border
from thorndale.config.load import ConfigError, listener, matching
from thorndale.daemon import keep
from thorndale.daemon.log import open_log
from thorndale.net.clock import now_us
from thorndale.net.transport import TransportLayer

LOOK_S = 0.05  # between two looks whether the last call has ended, once it is told to stop
COLLECT_US = 60_000_000  # us between two collections of cycles at least
FAULTS_SAID = 20  # faults of a rules file that one log line lists
HEART_S = 0.05  # between two looks at the loop's lag, which also holds while no timer is due


class StartError(Exception):
    """What keeps the daemon from starting, with what to do."""


async def serve(settings, path, ready=lambda: None, rules=None):
    """Runs a proxy until it is told to stop; `path` is that of its settings, beside which its rules lie; `rules` where
    they have been read already.

    Raises StartError before anything is served, ConfigError for rules that are wrong.
    """
    rules = rules or matching(settings, path)
    loop = asyncio.get_running_loop()
    before = descriptors()  # the loop has some of its own
    try:
        say, close_log = open_log(settings.log, settings.name)
    except OSError as fault:
        raise StartError(f"log.file: {settings.log.file} cannot be written: {fault.strerror}") from None
    listeners = [listener(text) for text in settings.listen]
    ends = TransportLayer(loop, settings.limits)
    copy = settings.book.file if settings.book else ""
    keeper = keep.Keeper(loop, copy, say)
    seed = secrets.randbits(64)
    offset = time.time_ns() // 1000 - now_us()
    try:
        store, hide = _records(settings, loop, say, offset)
    except StartError:
        await ends.close()
        await keeper.close()
        close_log()
        raise
    border = Border(
        settings, rules, seed, listeners, ends.send, say, keeper.keep, offset, store.ledger if store else None, hide
    )
    border.wall_us = lambda: time.time_ns() // 1000
    ends.core = border
    if store:

        def clock():
            border.now = now_us()
            return border.now

        store.attach(clock, ends.batch)
        await store.ready()
        store.start_retention(settings.records.keep_days, border.wall_us)
    loop.set_exception_handler(
        lambda _, context: say(
            "error",
            "fault in the program",
            fault=repr(context.get("exception") or context.get("message")),
            where=repr(context.get("handle", "")),
        )
    )
    try:
        ends.open(listeners)
        talk = _talk(settings, loop, seed, say, border, ends.arm)
    except OSError as fault:
        await ends.close()
        await keeper.close()
        if store:
            await store.close()
        close_log()
        raise StartError(f"{fault.filename} cannot be opened: {fault.strerror}; is another program there?") from None
    told = asyncio.Event()
    for number in signals.STOP_SIGNALS:
        loop.add_signal_handler(number, told.set)
    again = asyncio.Event()
    loop.add_signal_handler(signals.RELOAD_SIGNAL, again.set)
    signals.unblock()
    heart = loop.create_task(_heart(border))
    reloader = loop.create_task(_reload(again, settings, path, border, say))
    try:
        border.start(now_us(), keep.read(copy, say))
        ends.arm()
        say("info", "started", listen=settings.listen, pid=os.getpid())
        ready()
        await told.wait()
        await _stop(settings, border, ends, say)
    finally:
        for task in (heart, reloader):
            task.cancel()
        await asyncio.gather(heart, reloader, return_exceptions=True)
        if store:
            await store.close()
        if talk is not None:
            talk.close()
        border.finish()
        left = border.resources_in_use()
        await ends.close()
        await keeper.close()
        signals.block()
        tasks = len(asyncio.all_tasks()) - 1
        say(
            "info",
            "stopped",
            left=left,
            tasks=tasks,
            descriptors=descriptors() - before,
            counts=dict(border.count),
            book=border.book.counts if border.book else {},
            tcp=ends.tcp.count,
            dropped=sum(u.dropped for u in ends.udp),
            refused_early=border.overload_control.refused,
            records=border.ledger.counts(),
        )
        close_log()


def _talk(settings, loop, seed, say, border, arm):
    """What speaks with the other proxies, or None where the settings name none: then no datagram goes to them."""
    if settings.fleet is None:
        return None
    from thorndale.daemon.fleet import Talk

    return Talk(loop, settings, seed, say, border, arm)


def _records(settings, loop, say, offset):
    """(Store, hide) by the settings; (None, str) where no records are kept. Raises StartError."""
    if settings.records is None:
        return None, str
    from thorndale.records.hide import hider  # a proxy that keeps none starts without these
    from thorndale.records.store import StoreError, open_store

    hide = str
    try:
        if settings.records.hash_key_file:
            with open(settings.records.hash_key_file, "rb") as file:
                hide = hider(file.read().strip())
        return open_store(settings.records, settings.name, loop, say, now_us(), offset), hide
    except (OSError, ValueError) as fault:
        raise StartError(f"records.hash_key_file: {settings.records.hash_key_file}: {fault}") from None
    except StoreError as fault:
        raise StartError(str(fault)) from None


async def _heart(border):
    """Looks at the loop's lag: what a fixed wait takes longer than it should.

    Collections of cycles halt the loop for tens of milliseconds with some ten thousand calls open (measured: p99 of
    the set-up time 55 to 75 ms). A call leaves no cycle behind, so they are left to moments without calls; what a
    fault in the program may leave waits until then.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
    collected = now_us()
    while True:
        if now_us() - collected > COLLECT_US and not len(border.module_host):
            gc.collect()
            collected = now_us()
        before = now_us()
        await asyncio.sleep(HEART_S)
        now = now_us()
        border.record_loop_delay(now, max(0, now - before - int(HEART_S * 1e6)))


async def _reload(again, settings, path, border, say):
    """On SIGHUP: the rules anew, read and checked off the loop, swapped whole; faulty ones leave the old in force."""
    while True:
        await again.wait()
        again.clear()
        try:
            rules = await asyncio.get_running_loop().run_in_executor(None, matching, settings, path)
        except ConfigError as fault:
            say(
                "error",
                "rules refused, the old ones stay",
                file=fault.where,
                faults=fault.faults[:FAULTS_SAID],
                count=len(fault.faults),
            )
            continue
        border.use_rules(rules)
        say("info", "rules in force", rules=len(rules.rules), file=rules.name)


async def _stop(settings, border, ends, say):
    """No new calls; then what is under way has `calls_ms`, and what is left is released within `quit_ms`."""
    say("info", "stopping", calls=border.open_calls())
    border.stop(now_us())
    border.flush(now_us())
    ends.arm()
    end = now_us() + settings.stop.calls_ms * 1000
    while border.open_calls() and now_us() < end:
        await asyncio.sleep(LOOK_S)
    if border.open_calls():
        say("info", "releasing calls", calls=border.open_calls())
        border.close_calls(now_us())
        border.flush(now_us())
        ends.arm()
    end = now_us() + settings.stop.quit_ms * 1000
    while (border.open_calls() or len(border.layer)) and now_us() < end:
        await asyncio.sleep(LOOK_S)


def descriptors():
    """Sockets that this process holds open, or -1 where that cannot be seen."""
    found = 0
    try:
        for name in os.listdir("/proc/self/fd"):
            with contextlib.suppress(OSError):
                found += os.readlink(f"/proc/self/fd/{name}").startswith("socket:")
    except OSError:
        return -1
    return found


def run(settings, path, rules=None):
    """Runs `serve` on uvloop to its end."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings, path, rules=rules))
