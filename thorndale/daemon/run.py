"""Lifecycle of one border proxy: start in order, run until SIGTERM or SIGINT, drain, close in reverse order."""

import asyncio
import contextlib
import gc
import os
import secrets
import time

import uvloop

from thorndale import signals
from thorndale.call.border import Border
from thorndale.config.load import ConfigError, load_rule_set, parse_listener
from thorndale.daemon import book_file
from thorndale.daemon.log import open_log
from thorndale.net.clock import now_us
from thorndale.net.transport import TransportLayer

POLL_S = 0.05  # interval at which a stopping proxy checks whether its last call has ended
GC_INTERVAL_US = 60_000_000  # minimum interval between two cycle collections
MAX_LOGGED_FAULTS = 20  # errors of a rules file listed in one log line
LAG_SAMPLE_S = 0.05  # interval at which the event loop's lag is sampled, also while no timer is due


class StartError(Exception):
    """The daemon cannot start; the message says why and what to do."""


async def serve(settings, path, ready=lambda: None, rules=None):
    """Runs a proxy until it receives a stop signal. `path` is the settings file; relative paths of rules start at its
    folder. `rules` are passed in if they have been loaded already.

    Raises StartError before anything is served, ConfigError for invalid rules.
    """
    rules = rules or load_rule_set(settings, path)
    loop = asyncio.get_running_loop()
    sockets_before = open_sockets()  # the event loop opens some itself
    try:
        log_event, close_log = open_log(settings.log, settings.name)
    except OSError as error:
        raise StartError(f"log.file: {settings.log.file} cannot be written: {error.strerror}") from None
    listeners = [parse_listener(text) for text in settings.listen]
    ends = TransportLayer(loop, settings.limits)
    book_path = settings.book.file if settings.book else ""
    book_writer = book_file.BookFileWriter(loop, book_path, log_event)
    seed = secrets.randbits(64)
    offset = time.time_ns() // 1000 - now_us()
    try:
        store, mask_number = _open_records(settings, loop, log_event, offset)
    except StartError:
        await ends.close()
        await book_writer.close()
        close_log()
        raise
    border = Border(
        settings,
        rules,
        seed,
        listeners,
        ends.send,
        log_event,
        book_writer.save,
        offset,
        store.ledger if store else None,
        mask_number,
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
        lambda _, context: log_event(
            "error",
            "fault in the program",
            fault=repr(context.get("exception") or context.get("message")),
            where=repr(context.get("handle", "")),
        )
    )
    try:
        ends.open(listeners)
        fleet_endpoint = _open_fleet(settings, loop, seed, log_event, border, ends.arm)
    except OSError as error:
        await ends.close()
        await book_writer.close()
        if store:
            await store.close()
        close_log()
        raise StartError(f"{error.filename} cannot be opened: {error.strerror}; is another program using it?") from None
    stop_requested = asyncio.Event()
    for number in signals.STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signals.RELOAD_SIGNAL, reload_requested.set)
    signals.unblock()
    lag_monitor = loop.create_task(_monitor_lag(border))
    reloader = loop.create_task(_reload(reload_requested, settings, path, border, log_event))
    try:
        border.start(now_us(), book_file.read(book_path, log_event))
        ends.arm()
        log_event("info", "started", listen=settings.listen, pid=os.getpid())
        ready()
        await stop_requested.wait()
        await _stop(settings, border, ends, log_event)
    finally:
        for task in (lag_monitor, reloader):
            task.cancel()
        await asyncio.gather(lag_monitor, reloader, return_exceptions=True)
        if store:
            await store.close()
        if fleet_endpoint is not None:
            fleet_endpoint.close()
        border.finish()
        left = border.resources_in_use()
        await ends.close()
        await book_writer.close()
        signals.block()
        tasks = len(asyncio.all_tasks()) - 1
        log_event(
            "info",
            "stopped",
            left=left,
            tasks=tasks,
            descriptors=open_sockets() - sockets_before,
            counts=dict(border.count),
            book=border.book.counts if border.book else {},
            tcp=ends.tcp.count,
            dropped=sum(u.dropped for u in ends.udp),
            refused_early=border.overload_control.refused,
            records=border.ledger.counts(),
        )
        close_log()


def _open_fleet(settings, loop, seed, log_event, border, arm):
    """The fleet endpoint, or None if the settings list no fleet: then no datagram is sent to other proxies."""
    if settings.fleet is None:
        return None
    from thorndale.daemon.fleet import FleetEndpoint

    return FleetEndpoint(loop, settings, seed, log_event, border, arm)


def _open_records(settings, loop, log_event, offset):
    """(Store, function that masks a caller's number) from the settings; (None, str) if no records are kept. Raises
    StartError."""
    if settings.records is None:
        return None, str
    from thorndale.records.number_hash import number_hasher  # loaded only where records are kept
    from thorndale.records.store import StoreError, open_store

    mask_number = str
    try:
        if settings.records.hash_key_file:
            with open(settings.records.hash_key_file, "rb") as file:
                mask_number = number_hasher(file.read().strip())
        return open_store(settings.records, settings.name, loop, log_event, now_us(), offset), mask_number
    except (OSError, ValueError) as error:
        raise StartError(f"records.hash_key_file: {settings.records.hash_key_file}: {error}") from None
    except StoreError as error:
        raise StartError(str(error)) from None


async def _monitor_lag(border):
    """Samples the event loop's lag: by how much a fixed sleep takes longer than it should.

    Also runs cycle collection. With about ten thousand open calls a collection halts the loop for tens of milliseconds
    (p99 of the set-up time: 55 to 75 ms). A call leaves no cycle behind, so collections run only while no call is
    open; cycles that a defect in the program leaves wait until then.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
    last_collection = now_us()
    while True:
        if now_us() - last_collection > GC_INTERVAL_US and not len(border.module_host):
            gc.collect()
            last_collection = now_us()
        sleep_started = now_us()
        await asyncio.sleep(LAG_SAMPLE_S)
        now = now_us()
        border.record_loop_delay(now, max(0, now - sleep_started - int(LAG_SAMPLE_S * 1e6)))


async def _reload(reload_requested, settings, path, border, log_event):
    """On SIGHUP, loads and checks the rules off the loop and swaps them as a whole. Invalid rules leave the old ones in
    force."""
    while True:
        await reload_requested.wait()
        reload_requested.clear()
        try:
            rules = await asyncio.get_running_loop().run_in_executor(None, load_rule_set, settings, path)
        except ConfigError as error:
            log_event(
                "error",
                "rules refused, the old ones stay",
                file=error.where,
                faults=error.problems[:MAX_LOGGED_FAULTS],
                count=len(error.problems),
            )
            continue
        border.use_rules(rules)
        log_event("info", "rules in force", rules=len(rules.rules), file=rules.name)


async def _stop(settings, border, ends, log_event):
    """Accepts no new calls, lets open calls end within `calls_ms`, and releases the remaining ones within `quit_ms`."""
    log_event("info", "stopping", calls=border.open_calls())
    border.stop(now_us())
    border.flush(now_us())
    ends.arm()
    end = now_us() + settings.stop.calls_ms * 1000
    while border.open_calls() and now_us() < end:
        await asyncio.sleep(POLL_S)
    if border.open_calls():
        log_event("info", "releasing calls", calls=border.open_calls())
        border.close_calls(now_us())
        border.flush(now_us())
        ends.arm()
    end = now_us() + settings.stop.quit_ms * 1000
    while (border.open_calls() or len(border.layer)) and now_us() < end:
        await asyncio.sleep(POLL_S)


def open_sockets():
    """Number of sockets that this process has open, or -1 if /proc cannot be read."""
    count_open = 0
    try:
        for name in os.listdir("/proc/self/fd"):
            with contextlib.suppress(OSError):
                count_open += os.readlink(f"/proc/self/fd/{name}").startswith("socket:")
    except OSError:
        return -1
    return count_open


def run(settings, path, rules=None):
    """Runs `serve` on uvloop until it returns."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings, path, rules=rules))
