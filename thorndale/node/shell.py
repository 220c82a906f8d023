"""Runs a border proxy: the sockets, signals and log around its core, in one process and one event loop."""

import asyncio
import gc
import os
import random
import time
from typing import NamedTuple

import uvloop

from thorndale import signals
from thorndale.net.alarm import Alarm
from thorndale.net.clock import now_us
from thorndale.net.connection import Stream
from thorndale.net.tcp import Tcp
from thorndale.node.follow import FeedClient
from thorndale.node.log import EventLog
from thorndale.node.start import StartError, read_file
from thorndale.platform import central, isup
from thorndale.platform.border import Border
from thorndale.platform.errors import PlatformError
from thorndale.platform.server_status import server_status_rows
from thorndale.platform.socket_actions import SocketActions
from thorndale.policy import Proxy

OWN_DESCRIPTORS = 24  # of the process itself: streams, loop, listener, control feed, log
SERVERS_DIVISOR = 4  # one in this many descriptors is reserved for central servers
CALLER_READ_BYTES, SERVER_READ_BYTES = 4_096, 16_384  # size of one read, so that a fast sender delays no other
MAX_UNSENT_BYTES = 262_144  # queued for a peer that does not read
CALLER_QUEUE_DIVISOR = 8  # one in this many bytes of memory is for what callers together have not read
PARTIAL_MS = 2_500  # longest pause within a message: callers may write slowly
# An accepted connection without a whole message ends after this time: one that sends nothing valid must be closed
# within 3 s.
SILENT_MS = 2_500
FEED_CONNECTIONS = 8  # to the control feed, with those that are closing
SERVER_PARTIAL_MS = 1_000  # PARTIAL_MS of central servers: a slow message delays the answers behind it
FEED_CONNECT_MS = 1_500  # limit for a connection to the control feed to come up, before another is tried
IDLE_US = 8_000_000  # time after which a caller's connection on which nothing is owed is closed
SWEEP_INTERVAL_S = 0.1
LATE_TIMER_US = 3_000  # delay of a timer above which the sockets are read before it runs
STATUS_LOG_S = 5.0  # interval of the log lines with server status and counts
SHUTDOWN_POLL_S = 0.02  # interval of the checks for what is still owed during shutdown
LAST_READ_S = 0.06  # time at the end in which connections are still read, so that each is closed with nothing unread
LAST_LINGER_S = 0.08  # time at the end in which peers may close their sides
GC_THRESHOLD = 50_000  # allocations between two collections: calls leave no reference cycles


class Bounds(NamedTuple):
    """Limits of a set of connections in `thorndale.net`."""

    connections: int
    connect_ms: float
    unsent_bytes: int = MAX_UNSENT_BYTES
    partial_ms: int = PARTIAL_MS


class Shell(SocketActions):
    """Carries bytes between sockets and the core."""

    def __init__(self, loop, path, config, log_event):
        self.loop, self.path, self.config, self.log_event = loop, path, config, log_event
        offset = time.time_ns() // 1000 - now_us()
        self.core = Border(config, Proxy(config.seed, config.settings), self, offset)
        servers = config.sockets // SERVERS_DIVISOR
        connect_ms = config.connect_us / 1000
        errors = (PlatformError, *central.STREAM_ERRORS)
        self.callers = Tcp(
            loop,
            Bounds(config.sockets - servers - OWN_DESCRIPTORS, connect_ms),
            self._caller_message,
            self._caller_lost,
            self.schedule_flush,
            Stream(isup.Framer, errors, CALLER_READ_BYTES),
            on_open=self._caller_opened,
            on_full=self._eviction_candidate,
            on_end=self._caller_ended,
            on_unreadable=self._caller_unreadable,
            is_needed=self.core.is_needed,
            on_peer_closed=self._caller_left,
            queue_limit=config.memory_bytes // CALLER_QUEUE_DIVISOR,
        )
        self.servers = Tcp(
            loop,
            Bounds(servers, connect_ms, partial_ms=SERVER_PARTIAL_MS),
            self._server_signal,
            self._server_lost,
            self.schedule_flush,
            Stream(central.Framer, errors, SERVER_READ_BYTES, "unreached", "spoilt"),
            on_open=self._server_opened,
            on_end=self._server_ended,
            on_progress=self._server_progress,
        )
        self.alarm = Alarm(loop, self.core.timers, self._timers_due, LATE_TIMER_US)
        self.feed, self.late_us, self.handles = None, 0, {}

    def open(self):
        """Raises OSError if the address cannot be listened on."""
        self.core.start(now_us())
        self.feed = FeedClient(
            self.loop,
            Bounds(FEED_CONNECTIONS, min(self.config.connect_us / 1000, FEED_CONNECT_MS)),
            self.config.feed,
            self.config.known[0],
            random.Random(self.config.seed),
            self._server_listed,
            self.schedule_flush,
            self.log_event,
        )
        self.callers.listen(*self.config.listen)
        self.schedule_flush()
        self._sweep()
        self._log_status()

    # ---- actions of the core ----

    def to_caller(self, connection, data):
        return connection in self.callers.by_hop and self.callers.send(connection, data)

    def end_caller(self, connection):
        self.callers.finish(connection, "an unusable message was received")

    def connect(self, host, port):
        return self.servers.connect(host, port)

    def to_server(self, key, data):
        return key in self.servers.by_hop and self.servers.send(key, data)

    def end_server(self, key):
        connection = self.servers.by_hop.get(key)
        if connection is not None:
            self.servers.drop(connection, "closed by this proxy")

    def log(self, event, **fields):
        self.log_event("info", event, **fields)

    # ---- socket events ----

    def _caller_ended(self, hop, reason):
        self.log_event("info", "connection", did="ended", connection=hop, why=reason)

    def _server_ended(self, hop, reason):
        self.log_event("info", "server connection", did="ended", link=hop, why=reason)

    def _caller_opened(self, hop):
        self.core.caller_opened(now_us(), hop)

    def _caller_unreadable(self, hop):
        self.core.caller_unreadable(now_us(), hop)

    def _caller_left(self, hop):
        self.core.caller_left(now_us(), hop)

    def _server_progress(self, hop):
        self.core.server_progress(now_us(), hop)

    def _caller_message(self, message, hop):
        self.core.caller_message(now_us(), hop, message)

    def _caller_lost(self, hop, kind):
        self.core.caller_lost(now_us(), hop)

    def _eviction_candidate(self):
        """The connection to close for one more: one that sent no valid message, else the longest idle one."""
        return next(self._release_quiet(self.core.connections.closable_for_new(now_us())), None)

    def _release_quiet(self, hops):
        """Yields those of these callers' connections that hold no unread input and no unsent output, after reporting
        each as lost to the core."""
        now = now_us()
        for hop in hops:
            if self.callers.is_quiet(hop):
                self.core.caller_lost(now, hop)
                yield hop

    def _server_opened(self, hop):
        self.core.server_opened(now_us(), hop)
        self.schedule_flush()

    def _server_signal(self, signal, hop):
        self.core.server_signal(now_us(), hop, signal)

    def _server_lost(self, hop, kind):
        if kind == "spoilt":
            self.log_event("warning", "stream spoilt", fault=self.servers.last_error)
        self.core.server_lost(now_us(), hop, kind)

    def _server_listed(self, event):
        self.core.server_list_changed(now_us(), event)

    def schedule_flush(self):
        """Flushes the core once all input of this loop iteration has been read. After a stall, set-ups, their callers'
        closes and the notice that a server is draining are read in random order."""
        if "act" not in self.handles:
            self.handles["act"] = self.loop.call_soon(self._flush)

    def _flush(self):
        del self.handles["act"]
        self.core.flush(now_us())
        self.alarm.arm()

    # ---- timers ----

    def _timers_due(self, late_us):
        self.late_us = max(self.late_us, late_us)
        try:
            now = now_us()
            self.core.run(now)
            self.core.flush(now)
        finally:
            self.alarm.arm()

    def _sweep(self):
        self.callers.sweep(SILENT_MS)
        self.servers.sweep()
        for hop in self._release_quiet(self.core.connections.idle(now_us(), IDLE_US)):
            self.callers.finish(hop, "idle")
        self.handles["sweep"] = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _log_status(self):
        """Logs the estimated and actual state of each server, and the counts so far."""
        now = now_us()
        for row in server_status_rows(now, self.core):
            self.log_event("info", "server", **row)
        self.log_event(
            "info",
            "counts",
            calls=self.core.count,
            callers=self.callers.count,
            feed=self.feed.feed.count,
            open=self.core.open_setups(),
            connections=[len(self.callers.by_hop), len(self.servers.by_hop)],
            late_ms=self.late_us // 1000,
            fault=self.callers.last_error,
        )
        self.late_us = 0
        self.handles["tell"] = self.loop.call_later(STATUS_LOG_S, self._log_status)

    # ---- signals ----

    def reload(self):
        """SIGHUP: reads the configuration again; one that cannot be read leaves the old one in force."""
        try:
            config = read_file(self.path)
        except StartError as error:
            self.log_event("error", "configuration refused, the old one stays", fault=str(error))
            return
        if config.settings != self.config.settings:
            self.log_event("warning", "other settings are taken at the next start only")
        self.feed.reconfigure(config.feed, config.known[1])
        self.log_event("info", "configuration in force", feed=config.feed)

    async def stop(self):
        """SIGTERM: set-ups that still come are served or refused by the core's shutdown plan. The process ends once
        nothing is owed, or when the plan is over. Answered calls go on; their callers report them to the next
        process."""
        self.log_event("info", "stopping", open=self.core.open_setups(), standing=self.core.established_calls())
        self.core.stop(now_us())
        plan = self.core.shutdown
        while not plan.is_over(now_us()):
            await asyncio.sleep(SHUTDOWN_POLL_S)
            if plan.accepts_setups(now_us()):
                continue
            self._finish_quiet(self.core.closable_connections(now_us()))
            if not self.core.has_undelivered_answers(now_us()) and self.callers.is_at_rest():
                break
        self.core.fail_open_setups(now_us())
        # A release received from now on would be acknowledged and reported to nobody; left unread, it is repeated.
        await self.servers.close()
        await self._finish_all_callers()

    def _finish_quiet(self, hops):
        for hop in self._release_quiet(hops):
            self.callers.finish(hop, "the process is ending")

    async def _finish_all_callers(self):
        """Finishes the callers' connections, each with nothing unread on it if its caller pauses at all."""
        end = self.loop.time() + LAST_READ_S
        while self.loop.time() < end and not (self.callers.is_at_rest() and not self.callers.by_hop):
            self._finish_quiet(list(self.callers.by_hop))
            await asyncio.sleep(SHUTDOWN_POLL_S / 4)
        await self.callers.finish_all("the process is ending", LAST_LINGER_S)

    async def close(self):
        self.alarm.stop()
        for handle in self.handles.values():
            handle.cancel()
        await self.feed.close()
        await self.servers.close()
        await self.callers.close()


async def serve(path, config, on_ready=lambda: None):
    """Runs a border proxy until SIGTERM or SIGINT. Raises StartError."""
    loop = asyncio.get_running_loop()
    log_event = EventLog(config.name)
    loop.set_exception_handler(
        lambda _, context: log_event(
            "error",
            "fault in the program",
            fault=repr(context.get("exception") or context.get("message")),
            where=_innermost_line(context.get("exception")),
        )
    )
    shell = Shell(loop, path, config, log_event)
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signals.RELOAD_SIGNAL, shell.reload)
    for number in signals.STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    signals.unblock()
    try:
        shell.open()
    except OSError as error:
        await shell.close()
        address = ":".join(map(str, config.listen))
        raise StartError(f"listen: {address} cannot be opened: {error.strerror}; is another program there?") from None
    log_event("info", "started", listen=config.listen, pid=os.getpid(), limits=config.limits)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    on_ready()
    await stop_requested.wait()
    await shell.stop()
    signals.block()
    log_event("info", "stopped", counts=shell.core.count, standing=shell.core.established_calls())
    await shell.close()


def _innermost_line(error):
    """The innermost line of thorndale in an exception's traceback."""
    step, line = getattr(error, "__traceback__", None), ""
    while step is not None:
        line = f"{step.tb_frame.f_code.co_filename.rpartition('thorndale/')[2]}:{step.tb_lineno}"
        step = step.tb_next
    return line


def run(path, config):
    """Runs `serve` on uvloop until it returns."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(path, config))
