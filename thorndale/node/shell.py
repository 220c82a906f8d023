"""The border proxy's sockets, signals and log round its core: one process, one loop."""

import asyncio
import gc
import os
import time
from typing import NamedTuple

import uvloop

from thorndale import signals
from thorndale.net.alarm import Alarm
from thorndale.net.clock import now_us
from thorndale.net.connection import Stream
from thorndale.net.tcp import Tcp
from thorndale.node.follow import Follower
from thorndale.node.log import Say
from thorndale.node.start import StartError, read_file
from thorndale.platform import central, isup
from thorndale.platform.border import Border, SocketActions
from thorndale.platform.errors import PlatformError
from thorndale.platform.server_status import server_status_rows
from thorndale.policy import Proxy

OWN = 24  # descriptors of the process itself: streams, loop, listener, control feed, log
SERVERS_PART = 4  # one part in so many of the descriptors is kept for central servers
CALLER_READ, SERVER_READ = 4_096, 16_384  # bytes read at one go, so that one fast sender delays no other
UNSENT = 262_144  # bytes that wait for a peer that does not read
PARTIAL_MS = 2_500  # ms for which a message may stop inside: callers may write slowly
SILENT_MS = 2_500  # ms without a whole message after which an accepted connection ends: one of no use is owed a close
# within 3 s
FEED_PARTIAL_MS = 1_000  # as PARTIAL_MS, of the control feed
SERVER_PARTIAL_MS = 1_000  # as PARTIAL_MS, of central servers: answers behind it on the connection wait meanwhile
FEED_CONNECT_MS = 1_500  # ms at most for a connection to the control feed to come up, before another is tried
IDLE_US = 8_000_000  # us after which a connection from callers on which nothing is owed is closed
SWEEP_S = 0.1
READ_FIRST_US = 3_000  # us that a timer may be late before the sockets are read ahead of it
READ_TURNS = 3  # turns of the loop in which what lies in the sockets is read
TOLD_S = 5.0  # s between two log lines that hold beliefs against what passed
LOOK_S = 0.02  # s between two looks at what is owed while the process ends
LAST_READ_S = 0.06  # s at the end in which connections are still read, so that each is closed with nothing unread
LAST_LINGER_S = 0.08  # s at the end in which peers may close their sides
COLLECT_AT = 50_000  # objects between two collections: a call leaves no cycle behind


class Bounds(NamedTuple):
    """What `thorndale.net` holds a set of connections to."""

    connections: int
    connect_ms: float
    unsent_bytes: int = UNSENT
    partial_ms: int = PARTIAL_MS


class Shell(SocketActions):
    """Carries bytes between sockets and the core."""

    def __init__(self, loop, path, config, say):
        self.loop, self.path, self.config, self.say = loop, path, config, say
        offset = time.time_ns() // 1000 - now_us()
        self.core = Border(config, Proxy(config.seed, config.settings), self, offset)
        servers = config.sockets // SERVERS_PART
        connect_ms = config.connect_us / 1000
        faults = (PlatformError, *central.STREAM_ERRORS)
        self.callers = Tcp(
            loop,
            Bounds(config.sockets - servers - OWN, connect_ms),
            self._message,
            self._left,
            self.batch,
            Stream(isup.Framer, faults, CALLER_READ),
            on_open=self._came,
            on_full=self._for_room,
            on_end=self._caller_ended,
            on_unreadable=self._unreadable,
            is_needed=self.core.is_needed,
        )
        self.servers = Tcp(
            loop,
            Bounds(servers, connect_ms, partial_ms=SERVER_PARTIAL_MS),
            self._signal,
            self._lost,
            self.batch,
            Stream(central.Framer, faults, SERVER_READ, "unreached", "spoilt"),
            on_open=self._opened,
            on_end=self._server_ended,
            on_progress=self._progress,
        )
        self.alarm = Alarm(loop, self.core.timers, self._due)
        self.feed, self.late_us, self.handles = None, 0, {}

    def open(self):
        """Raises OSError where the address cannot be had."""
        self.core.start(now_us())
        self.feed = Follower(
            self.loop,
            Bounds(4, min(self.config.connect_us / 1000, FEED_CONNECT_MS), partial_ms=FEED_PARTIAL_MS),
            self.config.feed,
            self.config.known[0],
            self._event,
            self.batch,
            self.say,
        )
        self.callers.listen(*self.config.listen)
        self.batch()
        self._sweep()
        self._tell()

    # ---- what the core wants done ----

    def to_caller(self, connection, data):
        return connection in self.callers.by_hop and self.callers.send(connection, data)

    def end_caller(self, connection):
        self.callers.finish(connection, "what came by it is of no use")

    def connect(self, host, port):
        return self.servers.connect(host, port)

    def to_server(self, key, data):
        return key in self.servers.by_hop and self.servers.send(key, data)

    def end_server(self, key):
        connection = self.servers.by_hop.get(key)
        if connection is not None:
            self.servers.drop(connection, "ended from here")

    def log(self, event, **fields):
        self.say("info", event, **fields)

    # ---- what happens on the sockets ----

    def _caller_ended(self, hop, reason):
        self.say("info", "connection", did="ended", connection=hop, why=reason)

    def _server_ended(self, hop, reason):
        self.say("info", "server connection", did="ended", link=hop, why=reason)

    def _came(self, hop):
        self.core.caller_opened(now_us(), hop)

    def _unreadable(self, hop):
        self.core.caller_unreadable(now_us(), hop)

    def _progress(self, hop):
        self.core.server_progress(now_us(), hop)

    def _message(self, message, hop):
        self.core.caller_message(now_us(), hop, message)

    def _left(self, hop, kind):
        self.core.caller_lost(now_us(), hop)

    def _for_room(self):
        """The connection to give up for one more: one that never said anything of use, else the longest idle."""
        return next(self._give_up(self.core.connections.closable_for_new(now_us())), None)

    def _give_up(self, hops):
        """Those of these connections from callers on which nothing lies unread or unsent. The core is told before they
        are given out."""
        now = now_us()
        for hop in hops:
            if self.callers.is_quiet(hop):
                self.core.caller_lost(now, hop)
                yield hop

    def _opened(self, hop):
        self.core.server_opened(now_us(), hop)
        self.batch()

    def _signal(self, signal, hop):
        self.core.server_signal(now_us(), hop, signal)

    def _lost(self, hop, kind):
        if kind == "spoilt":
            self.say("warning", "stream spoilt", fault=self.servers.fault)
        self.core.server_lost(now_us(), hop, kind)

    def _event(self, event):
        self.core.server_list_changed(now_us(), event)

    def batch(self):
        """What has come is acted on once all that this turn of the loop has read is known: set-ups, their callers'
        closes and the word that a server is leaving lie side by side after a stand-still, in an order of chance."""
        if "act" not in self.handles:
            self.handles["act"] = self.loop.call_soon(self._act)

    def _act(self):
        del self.handles["act"]
        self.core.flush(now_us())
        self.alarm.arm()

    # ---- timers ----

    def _due(self, late, turns=0):
        """What fell due while bytes lie unread is no time-out: when late, the loop reads first."""
        self.late_us = max(self.late_us, late)
        if late > READ_FIRST_US and turns < READ_TURNS:
            self.handles["read first"] = self.loop.call_soon(self._due, late, turns + 1)
            return
        try:
            now = now_us()
            self.core.run(now)
            self.core.flush(now)
        finally:
            self.alarm.arm()

    def _sweep(self):
        self.callers.sweep(SILENT_MS)
        self.servers.sweep()
        for hop in self._give_up(self.core.connections.idle(now_us(), IDLE_US)):
            self.callers.finish(hop, "idle")
        self.handles["sweep"] = self.loop.call_later(SWEEP_S, self._sweep)

    def _tell(self):
        """Beliefs beside what passed, and the counts so far."""
        now = now_us()
        for row in server_status_rows(now, self.core):
            self.say("info", "server", **row)
        self.say(
            "info",
            "counts",
            calls=self.core.count,
            callers=self.callers.count,
            feed=self.feed.feed.count,
            open=self.core.open_setups(),
            connections=[len(self.callers.by_hop), len(self.servers.by_hop)],
            late_ms=self.late_us // 1000,
            fault=self.callers.fault,
        )
        self.late_us = 0
        self.handles["tell"] = self.loop.call_later(TOLD_S, self._tell)

    # ---- signals ----

    def reload(self):
        """SIGHUP: the file anew; one that cannot be read leaves the old in force."""
        try:
            config = read_file(self.path)
        except StartError as fault:
            self.say("error", "configuration refused, the old one stays", fault=str(fault))
            return
        if config.settings != self.config.settings:
            self.say("warning", "other settings are taken at the next start only")
        self.feed.move(config.feed, config.known[1])
        self.say("info", "configuration in force", feed=config.feed)

    async def stop(self):
        """SIGTERM: what still comes is served or refused, as the core's plan has it; the process ends once nothing is
        owed, or when the plan is over. Calls that stand go on: their callers tell the next process of them."""
        self.say("info", "stopping", open=self.core.open_setups(), standing=self.core.established_calls())
        self.core.stop(now_us())
        plan = self.core.shutdown
        while not plan.is_over(now_us()):
            await asyncio.sleep(LOOK_S)
            if plan.accepts_setups(now_us()):
                continue
            self._finish(self.core.closable_connections(now_us()))
            if not self.core.has_undelivered_answers(now_us()) and self.callers.is_at_rest():
                break
        self.core.fail_open_setups(now_us())
        await self.servers.close()  # a release that came now would be answered and told to nobody: it comes again
        await self._finish_callers()

    def _finish(self, hops):
        for hop in self._give_up(hops):
            self.callers.finish(hop, "the process is ending")

    async def _finish_callers(self):
        """Ends the connections of callers in order, each with nothing unread on it where its caller pauses at all."""
        end = self.loop.time() + LAST_READ_S
        while self.loop.time() < end and not (self.callers.is_at_rest() and not self.callers.by_hop):
            self._finish(list(self.callers.by_hop))
            await asyncio.sleep(LOOK_S / 4)
        await self.callers.finish_all("the process is ending", LAST_LINGER_S)

    async def close(self):
        self.alarm.stop()
        for handle in self.handles.values():
            handle.cancel()
        await self.feed.close()
        await self.servers.close()
        await self.callers.close()


async def serve(path, config, ready=lambda: None):
    """Runs a border proxy until it is told to stop. Raises StartError."""
    loop = asyncio.get_running_loop()
    say = Say(config.name)
    loop.set_exception_handler(
        lambda _, context: say(
            "error",
            "fault in the program",
            fault=repr(context.get("exception") or context.get("message")),
            where=_where(context.get("exception")),
        )
    )
    shell = Shell(loop, path, config, say)
    told = asyncio.Event()
    loop.add_signal_handler(signals.TOLD_TO_RELOAD, shell.reload)
    for number in signals.TOLD_TO_END:
        loop.add_signal_handler(number, told.set)
    signals.unblock()
    try:
        shell.open()
    except OSError as fault:
        await shell.close()
        address = ":".join(map(str, config.listen))
        raise StartError(f"listen: {address} cannot be opened: {fault.strerror}; is another program there?") from None
    say("info", "started", listen=config.listen, pid=os.getpid(), limits=config.limits)
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AT)
    ready()
    await told.wait()
    await shell.stop()
    signals.block()
    say("info", "stopped", counts=shell.core.count, standing=shell.core.established_calls())
    await shell.close()


def _where(fault):
    """The innermost line of the program in a fault's traceback."""
    step, found = getattr(fault, "__traceback__", None), ""
    while step is not None:
        found = f"{step.tb_frame.f_code.co_filename.rpartition('thorndale/')[2]}:{step.tb_lineno}"
        step = step.tb_next
    return found


def run(path, config):
    """Runs `serve` on uvloop to its end."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(path, config))
