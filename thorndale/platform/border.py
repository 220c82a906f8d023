"""The core of a border proxy on the platform: callers on one side, central servers on the other, the module between.

How to call it: `Border(config, module, send, now)`, where `send` carries out what is to be done on sockets (`Send`
below); then `start`, and for whatever happens the method that is named for it; after each batch of those, `flush`
hands the module's events over and carries out its actions. Times are whole microseconds on a clock that only
advances; `offset` brings Unix times onto it.

Calls being set up are known by (connection, id), calls that stand by their id alone. Each seizure gets one end.
An INVITE is built when it is written: a seizure whose connection is not up is nowhere but here and can be taken back.
What is owed to the callers of calls that are over is in `releases`; what is still taken while the process ends, in
`shutdown`.
"""

from thorndale import interface as io
from thorndale.door import Door
from thorndale.platform import central as sip
from thorndale.platform import isup, outcomes
from thorndale.platform.callers import CallerConnections
from thorndale.platform.calls import Call, Seizure
from thorndale.platform.description import is_description
from thorndale.platform.early import EarlyReleases
from thorndale.platform.errors import PlatformError
from thorndale.platform.feed import fold
from thorndale.platform.links import Central, Link
from thorndale.platform.releases import Releases
from thorndale.platform.shutdown import Shutdown
from thorndale.timers import Timers

TEND_US = 50_000  # us between two looks at releases owed and connections to central servers


class Send:
    """What the core wants done on sockets; a shell or a test gives these."""

    def to_caller(self, connection, data):
        """Whether the connection takes it: one that is ending does not."""

    def end_caller(self, connection):
        """Closes a caller's connection once what was sent is out."""

    def connect(self, host, port):
        """Opens a connection to a central server; its key, under which `opened` or `server_lost` follows."""

    def to_server(self, key, data):
        """Whether the connection takes it."""

    def end_server(self, key): ...

    def log(self, event, **fields): ...


class Border:
    def __init__(self, config, module, send, offset):
        self.config, self.send, self.offset = config, send, offset
        self.door, self.timers = Door(module), Timers()
        self.connections = CallerConnections()
        self.calls, self.links = {}, {}  # by id, being set up and standing; by key
        self.centrals, self.by_index, self.servers = {}, {}, 0
        self.releases, self.done = Releases(self.connections, send, self._note), []
        self.early = EarlyReleases()
        self.shutdown, self.pings = None, 0  # shutdown: its plan, once told to end
        self.kinds = {kind.index: kind for kind in config.kinds.values()}
        self.count = {}

    # ---- the start, the list ----

    def start(self, now):
        """Takes the list that came with the configuration, as from disk."""
        entries = fold(self.config.known[1]).values()
        self._list(now, entries, True, True)
        self.timers.set(now + TEND_US, self, "tend")

    def listed(self, now, event):
        """An event of the control feed, new and in order."""
        self._list(now, event.entries, event.whole, False)

    def _list(self, now, entries, whole, disk):
        told, named = [], set()
        for entry in entries:
            named.add(entry.name)
            central = self.centrals.get(entry.name)
            if central is None:
                if entry.state == io.GONE:
                    continue
                central = self.centrals[entry.name] = Central(self.servers, entry.name)
                self.by_index[self.servers] = central
                self.servers += 1
            started = max(1, entry.started_ms * 1000 - self.offset) if entry.started_ms else 0
            if entry.state != io.SERVING or central.started != started:
                self._take_back(now, central)
            if central.started != started and central.state >= 0 and entry.state == io.SERVING:
                self._cut(now, central, "started anew")
            moved = (central.host, central.port) != (entry.host, entry.port)
            central.host, central.port, central.pool = entry.host, entry.port, entry.pool
            central.state, central.started = entry.state, started
            if moved:  # after the new address is known, for calls that stand are asked after there
                for link in list(central.links):
                    self._drop(now, link)
            told.append(io.Server(central.index, central.pool, entry.state, started))
        for central in list(self.centrals.values()):
            if whole and central.name not in named and central.state != io.GONE:
                central.state = io.GONE
                self._take_back(now, central)
        if told or whole:
            self.door.tell(io.Servers(tuple(told), whole, disk))
        for central in list(self.centrals.values()):
            if central.state == io.GONE:
                self._gone(now, central)

    def _gone(self, now, central):
        """Told gone: what stands there goes on while a connection to it lives; no new one is opened, since its
        address may be another's, and one opened after a loss may have gone to that other: it would release nothing."""
        for link in central.doubtful():
            self._drop(now, link)
        if not any(link.opened for link in central.links):
            for link in list(central.links):
                self._drop(now, link)
            self._cut(now, central, "gone")
            self._forget(central)

    def _forget(self, central):
        if central.state == io.GONE and not central.links and not central.standing:
            self.centrals.pop(central.name, None)
            self.by_index.pop(central.index, None)

    # ---- callers ----

    def caller_opened(self, now, key):
        self.connections.add(key, now)
        self.send.log("connection", did="opened", connection=key)

    def caller_message(self, now, key, message):
        """One framed message from a caller: (type, call, parameters)."""
        connection = self.connections.get(key)
        if connection is None:
            return
        kind, call, data = message
        self.connections.use(connection, now)
        try:
            if kind == isup.SETUP:
                self._setup(now, connection, call, isup.parameters(data))
            elif kind == isup.RELEASE:
                self._released(now, connection, call, isup.cause_of(isup.parameters(data)))
            elif kind == isup.TEST:
                passed = self.shutdown is None
                self.send.to_caller(key, isup.encode(isup.RESULT, call, (isup.CAUSE, bytes((passed,)))))
            elif kind == isup.HEARD:
                self.releases.heard(connection, call)
            else:
                raise PlatformError(f"type {kind} from a caller", "message")
        except PlatformError as fault:
            self._bad(now, connection, call, fault)

    def _bad(self, now, connection, call, fault):
        """What cannot be used is turned away and its connection closed; nobody else's calls are touched."""
        self._note("bad from callers")
        self.send.log("unusable message", fault=str(fault), connection=connection.key, call=call.hex())
        held = connection.open.get(call)
        if held is not None:
            self._give_up(now, held, "a second message under its id")
        self.send.to_caller(connection.key, isup.release(call, outcomes.UNREADABLE))
        self._turn_away(now, connection)

    def caller_unreadable(self, now, key):
        """A connection whose stream cannot be read further: whatever still comes by it is of no use."""
        connection = self.connections.get(key)
        if connection is not None:
            self._turn_away(now, connection)

    def _turn_away(self, now, connection):
        """Ends a caller's connection for its own fault, after an answer to each set-up that is open on it."""
        for held in list(connection.open.values()):
            self._fail_now(now, held, "its connection is of no further use")
        self.caller_lost(now, connection.key)
        self.send.end_caller(connection.key)

    def _fail_now(self, now, held, why):
        """The final answer to a set-up from here and not from the module: refused where nothing was sent on for it."""
        cause = outcomes.FAILED if held.forwarded else outcomes.REJECTED
        self.send.to_caller(held.connection.key, isup.release(held.id, cause))
        self._give_up(now, held, why)

    def _setup(self, now, connection, call, found):
        setup = isup.read_setup(found, self.config.kinds)
        if not any(call):
            raise PlatformError("no id", "set-up")
        kind = self.kinds[setup.call_type]
        if setup.at:
            self._stands(now, connection, call, setup, kind)
            return
        if call in connection.open:
            raise PlatformError("two set-ups under one id", "set-up")
        if call in self.calls:
            raise PlatformError("the id is another call's", "set-up")
        connection.called_at = now
        self.connections.prove(connection)
        within_us = setup.within_us
        if self.shutdown is not None:
            if not self.shutdown.takes(now):
                self._refuse_at_shutdown(connection, call)
                return
            within_us = self.shutdown.time_for(now, within_us)
        held = Call(connection, call, setup, kind)
        held.index = self.door.number(held)
        self.calls[call] = connection.open[call] = held
        self._note("set-ups")
        self._trace(
            held, "set-up", connection=connection.key, kind=kind.name, within_ms=within_us // 1000, redial=setup.redial
        )
        self.door.tell(
            io.Call(
                held.index,
                setup.call_type,
                0,
                int(setup.number, 16),
                within_us,
                setup.pool,
                setup.redial,
                setup.again,
            )
        )
        self.releases.caller_came(now)

    def _refuse_at_shutdown(self, connection, call):
        self._note("refused at shutdown")
        self.send.log("call", call=call.hex(), did="refused", connection=connection.key, why="the process is ending")
        self.send.to_caller(connection.key, isup.release(call, outcomes.REJECTED))

    def _stands(self, now, connection, call, setup, kind):
        """A call that stands at a central server already: taken up after a restart, without an answer."""
        if call in self.calls:
            return
        connection.called_at = now
        self.connections.prove(connection)
        self._note("taken up")
        central = self.centrals.get(setup.at)
        early = self.early.of(call)
        if central is None or central.was_cut or early is not None and early.server == setup.at:
            why = "its server is not known" if central is None else "its server has ended it"
            fields = {"connection": connection.key, "server": setup.at, "why": why}
            self.send.log("call", call=call.hex(), did="not taken up", **fields)
            self.releases.owe(now, call, outcomes.CUT if early is None else early.cause, connection)
            return
        held = Call(connection, call, setup, kind)
        held.central = central
        self.calls[call] = central.standing[call] = held
        connection.standing.add(call)
        self._trace(held, "taken up", connection=connection.key, server=central.name)
        if not central.links:
            self._open(now, central)
        self.releases.caller_came(now)

    def _released(self, now, connection, call, cause):
        held = connection.open.get(call)
        if held is not None:
            self._note("given up by callers")
            self._give_up(now, held, "released by its caller")
            return
        held = self.calls.get(call)
        if held is not None and held.central is not None:
            self._note("released by callers")
            self._trace(held, "released by its caller", connection=connection.key, cause=cause)
            central = held.central
            self.connections.prove(connection)
            self._to(now, central, sip.bye(held.text, 2, held.number, cause or outcomes.CLEARED))
            self._end_standing(now, held, io.COMPLETED, None)

    def _give_up(self, now, held, why):
        """The caller of a call that is being set up has left: nothing more is owed."""
        self._trace(held, "given up", why=why)
        self._close(held)
        self.door.tell(io.CallerAbandoned(held.index))
        if held.seizure is not None:
            self._cancel(now, held.seizure, io.CANCELLED, True)
        self.done.append(held)

    def caller_lost(self, now, key):
        """A connection from callers has ended; calls that stand go on."""
        connection = self.connections.pop(key)
        if connection is None:
            return
        for held in list(connection.open.values()):
            self._note("left by a lost connection")
            self._give_up(now, held, "its connection has ended")
        self.releases.connection_ended(now, connection)

    def is_needed(self, key):
        """Whether something is owed on a caller's connection."""
        connection = self.connections.get(key)
        return connection is not None and connection.is_needed()

    def _close(self, held):
        """The call is no more one that is being set up."""
        held.over = True
        self.calls.pop(held.id, None)
        if held.connection is not None:
            held.connection.open.pop(held.id, None)

    # ---- central servers ----

    def _open(self, now, central):
        key = self.send.connect(central.host, central.port)
        link = self.links[key] = Link(key, central, now)
        central.links.append(link)
        central.misses_one = False
        central.count("connections")
        return link

    def _to(self, now, central, data):
        """Sends what concerns a call that stood, on any connection to its server."""
        link = central.any_open() or (central.links[0] if central.links else None)
        if link is None:
            if central.state == io.GONE:
                return
            link = self._open(now, central)
        if link.opened:
            self.send.to_server(link.key, data)
        else:
            central.waiting.append(data)

    def _invite(self, now, seizure):
        """The moment of a set-up: what comes before it has sent nothing, what comes after may have run."""
        call = seizure.call
        if self.send.to_server(
            seizure.link.key, sip.invite(call.text, 1, call.number, call.kind.name, seizure.until - now, call.body)
        ):
            seizure.sent_at, call.forwarded = now, True
            seizure.central.count("sent")
            self._trace(call, "sent", server=seizure.central.name, link=seizure.link.key, attempt=seizure.number)

    def _take_back(self, now, central):
        """The process that was chosen is leaving or another has its place: what was not written goes elsewhere."""
        for link in central.links:
            for seizure in [s for s in link.out.values() if s.sent_at is None]:
                self._cancel(now, seizure, io.NOT_SENT, False)

    def server_opened(self, now, key):
        link = self.links.get(key)
        if link is not None:
            link.central.opened(link, now)
            self.send.log("server connection", did="opened", server=link.central.name, link=key)
            waiting, link.central.waiting = link.central.waiting, []
            for data in waiting:
                self.send.to_server(key, data)
            for seizure in link.out.values():
                self._invite(now, seizure)

    def server_lost(self, now, key, kind):
        """A connection to a central server has ended: 'refused', 'unreached', 'lost' or 'spoilt'."""
        link = self.links.pop(key, None)
        if link is not None:
            self._unlink(now, link, kind)

    def _drop(self, now, link):
        """Ends a connection from here; set-ups open on it are given up."""
        if self.links.pop(link.key, None) is None:
            return
        self.send.end_server(link.key)
        self._unlink(now, link, "lost")

    def _unlink(self, now, link, kind):
        central = link.central
        self.send.log(
            "server connection",
            did=kind,
            server=central.name,
            link=link.key,
            out=len(link.out),
            standing=len(central.standing),
        )
        if link in central.links:
            central.links.remove(link)
        central.count(f"connections {kind}")
        if kind == "lost":
            central.broke_at = now
        for seizure in list(link.out.values()):
            if not seizure.over:
                self._end(now, seizure, outcomes.connection(kind, seizure.sent_at is not None), None)
        link.out = {}
        is_first = central.failed(now)
        if kind == "refused" and not any(other.opened for other in central.links):
            self._cut(now, central, "refuses connections")
        if central.state == io.GONE:
            self._gone(now, central)
        elif (central.standing or central.waiting) and kind in ("lost", "spoilt"):
            central.misses_one = True  # a release sent on the old one is sent again on the next that is opened
            if is_first:
                self._open(now, central)

    def server_progress(self, now, key):
        """Part of a message has come from a central server."""
        link = self.links.get(key)
        if link is not None:
            link.progressed(now)

    def server_signal(self, now, key, signal):
        link = self.links.get(key)
        if link is None:
            return
        central = link.central
        central.heard(link, now)
        if signal.status:
            if signal.method == "INVITE":
                self._answered(now, link, signal)
        elif signal.method == "BYE":
            self._bye(now, link, signal)
        elif signal.method == "NOTIFY" and signal.report and central.leads(link):
            report = sip.report(signal.report, self.config.fields)
            central.count("states")
            self.door.tell(io.ServerReport(central.index, report, False))

    def _answered(self, now, link, signal):
        if signal.status < 200:
            return
        seizure = link.out.get(signal.call)
        if seizure is None or seizure.sent_at is None:
            link.central.count("answers of nothing open")
            return
        call, central = seizure.call, link.central
        if signal.status < 300:
            if not is_description(signal.body):
                raise PlatformError("an answer whose description cannot be read", central.name)
            del link.out[signal.call]
            self.send.to_server(link.key, sip.ack(call.text, signal.number, call.number))
            if seizure.over or call.over:
                central.count("late answers")
                self._trace(call, "late answer", server=central.name)
                if call.seizure is None or call.seizure.central is not central:  # else it would end that one
                    self.send.to_server(link.key, sip.bye(call.text, 2, call.number, outcomes.CLEARED))
                if not seizure.over:
                    self._end(now, seizure, io.CANCELLED, None)
                return
            self._stood(now, seizure, signal.body)
            return
        del link.out[signal.call]
        self.send.to_server(link.key, sip.ack(call.text, signal.number, call.number))
        if not seizure.over:
            report = sip.report(signal.report, self.config.fields) if signal.report else None
            self._end(now, seizure, outcomes.refused(signal.status, signal.note), report)

    def _stood(self, now, seizure, body):
        call, central = seizure.call, seizure.central
        self._finish(seizure)
        lag = now - seizure.sent_at
        central.count("stood")
        central.lags.append(lag)
        taken = self.send.to_caller(call.connection.key, isup.encode(isup.ANSWER, call.id, (isup.DESCRIPTION, body)))
        call.connection.open.pop(call.id, None)
        call.connection.standing.add(call.id)
        call.central, call.body = central, b""
        central.standing[call.id] = call
        self._trace(call, "stood", connection=call.connection.key, server=central.name, taken=taken, lag_ms=lag // 1000)
        self.door.tell(io.Answered(call.index, seizure.number, central.index, lag))
        if seizure.released is not None:
            self._over(now, call, seizure.released, None)
        elif not taken:  # its caller's connection is ending: it stands for nobody
            self.send.to_server(seizure.link.key, sip.bye(call.text, 2, call.number, outcomes.CLEARED))
            self._end_standing(now, call, io.COMPLETED, None)

    def _bye(self, now, link, signal):
        central = link.central
        self.send.to_server(link.key, sip.heard(signal))
        try:
            known = bytes.fromhex(signal.call)
        except ValueError:
            known = b""
        call = self.calls.get(known)
        if call is None:
            central.count("releases of nothing open")
            self.send.log(
                "call", call=signal.call, did="release of nothing open", server=central.name, cause=signal.cause
            )
            self.early.keep(now, known, central.name, signal.cause or outcomes.CUT)
            return
        report = sip.report(signal.report, self.config.fields) if signal.report else None
        seizure = call.seizure
        if call.central is central:
            self._over(now, call, signal.cause, report)
        elif seizure is not None and seizure.central is central:
            self._released_unanswered(now, seizure, signal.cause, report)

    def _released_unanswered(self, now, seizure, cause, report):
        """A release while the answer has not been read: it may lie on another connection still, and stands only to be
        over. Where the call had an earlier seizure there, it may be that one's."""
        if not outcomes.of_a_standing(cause):
            seizure.link.out.pop(seizure.call.text, None)
            self._end(now, seizure, io.RESET, report)
        elif not seizure.again:
            seizure.released = cause
            self._trace(seizure.call, "released before its answer", server=seizure.central.name, cause=cause)

    def _over(self, now, call, cause, report):
        """Its server has released a call that stood: its caller is to be told."""
        self._end_standing(now, call, outcomes.ended(cause), report)
        self.releases.owe(now, call.id, cause or outcomes.CUT, call.connection)

    def _end_standing(self, now, call, outcome, report):
        """A call that stood is over."""
        central = call.central
        self._trace(call, "over", server=central.name, outcome=outcomes.NAMES[outcome])
        central.standing.pop(call.id, None)
        call.connection.standing.discard(call.id)
        central.count("completed" if outcome == io.COMPLETED else "cut")
        self._close(call)
        if call.index >= 0:
            self.door.tell(io.SeizureEnded(call.index, call.sent - 1, central.index, outcome, 0, 0, True, report))
            self.done.append(call)
        self._forget(central)

    def _cut(self, now, central, why, proved=True):
        """All calls that stand at a server are over: it was proved dead, or could not be reached for too long."""
        central.was_cut |= proved
        if central.standing:
            self.send.log("calls cut", server=central.name, calls=len(central.standing), why=why)
        for call in list(central.standing.values()):
            self._end_standing(now, call, io.RESET, None)
            self.releases.owe(now, call.id, outcomes.CUT, call.connection)

    # ---- seizures ----

    def _finish(self, seizure):
        """A seizure's end was found: it is told once, by whoever called this."""
        seizure.over = True
        self.timers.cancel(seizure.timer)
        seizure.timer = None
        seizure.call.seizure = None

    def _end(self, now, seizure, outcome, report, final=False):
        self._finish(seizure)
        call, central = seizure.call, seizure.central
        call.last, final = outcome, final or call.over
        if call.over:
            self.done.append(call)
        central.count(outcomes.NAMES[outcome])
        self._trace(call, "attempt ended", server=central.name, outcome=outcomes.NAMES[outcome], attempt=seizure.number)
        since = seizure.since if seizure.sent_at is None else seizure.sent_at
        self.door.tell(
            io.SeizureEnded(call.index, seizure.number, central.index, outcome, 0, now - since, final, report)
        )

    def _cancel(self, now, seizure, outcome, final):
        """Takes a seizure back: with a CANCEL where its INVITE was written, else it never leaves."""
        link, call = seizure.link, seizure.call
        if seizure.sent_at is None:
            del link.out[call.text]
            outcome = io.UNREACHABLE if outcome == io.TIMED_OUT else io.NOT_SENT
        else:
            self.send.to_server(link.key, sip.cancel(call.text, 1, call.number))
        self._end(now, seizure, outcome, None, final)

    def timed_out(self, now, seizure):
        if not seizure.over:
            self._cancel(now, seizure, io.TIMED_OUT, False)

    # ---- the module ----

    def due(self, now, name):
        if name == "tend":
            self._tend(now)
            self.timers.set(now + TEND_US, self, "tend")
        else:
            self.door.tell(io.TimerFired(name))

    def run(self, now, most=1 << 30):
        return self.timers.run(now, most)

    def flush(self, now):
        """Hands the events over and carries the actions out until nothing is left to tell."""
        while self.door.events:
            for action in self.door.take(now):
                self._act(now, action)
        for call in self.done:
            if call.index >= 0 and call.seizure is None:
                self.door.release(call.index)
                call.index = -1
        self.done.clear()

    def _act(self, now, action):
        kind = type(action)
        if kind is io.SetTimer:
            self.timers.set(action.at_us, self, action.token)
            return
        if kind is io.Log:
            self.send.log("module", text=self._named(action.text))
            return
        if kind is io.SubscribeList:
            return  # the control feed is followed always
        call = self.door.calls[action.call]
        if call is None or call.over:
            return
        if kind is io.Seize:
            self._seize(now, call, action)
        elif kind is io.Cancel:
            if call.seizure is not None and call.seizure.number == action.seizure:
                self._cancel(now, call.seizure, io.CANCELLED, True)
        elif kind is io.Reject:
            self._answer(call, outcomes.REJECTED, action.reason, action.comeback_us)
            self._note("rejected")
        elif kind is io.Fail:
            self._answer(call, outcomes.ENGAGED if call.last == io.BUSY else outcomes.FAILED, action.reason)
            self._note("failed")

    def _answer(self, call, cause, why, comeback_us=0):
        key = call.connection.key
        self._close(call)
        taken = self.send.to_caller(key, isup.release(call.id, cause, comeback_us))
        self._trace(call, "refused", connection=key, cause=cause, why=why, taken=taken, attempts=call.sent)
        self.done.append(call)

    def _seize(self, now, call, action):
        central = self.by_index[action.server]
        seizure = call.seizure = Seizure(self, call, call.sent, central, now, now + max(1, action.timeout_us))
        call.sent += 1
        link, more = central.pick(call.text)
        if more:
            opened = self._open(now, central)
            link = link or opened
        seizure.link = link
        link.out[call.text] = seizure
        seizure.timer = self.timers.set(seizure.until, seizure, "late")
        if link.opened:
            self._invite(now, seizure)

    def _named(self, text):
        """A log line of the module's with the server's id in place of its index."""
        head, space, rest = text.partition(" ")
        index, colon, tail = rest.partition(":")
        if head == "server" and index.isdigit() and int(index) in self.by_index:
            return f"{head} {self.by_index[int(index)].name}{colon}{tail}"
        return text

    # ---- the look at releases and connections ----

    def _tend(self, now):
        self.releases.tend(now)
        for central in list(self.centrals.values()):
            for link in list(central.links):
                central.forget_given_up(link, now)
                want = central.quiet(link, now)
                if want == "ask":
                    link.asked_at = now
                    self.pings += 1
                    self.send.to_server(link.key, sip.options(f"{self.pings:016x}", 1))
                elif want == "dead":
                    central.count("silent connections")
                    self._drop(now, link)
            if central.is_dark(now):
                self._cut(now, central, "cannot be reached", proved=False)
            if central.wants_connection(now):
                self._open(now, central)

    # ---- counts and the log ----

    def _trace(self, call, did, **fields):
        """One line of a call's way, found by its id."""
        self.send.log("call", call=call.text, did=did, **fields)

    def _note(self, what):
        self.count[what] = self.count.get(what, 0) + 1

    # ---- the end of the process ----

    def stop(self, now):
        """Told to end: tests fail from now on, and set-ups are taken as `shutdown` has it."""
        if self.shutdown is None:
            longest_us = max((kind.guard_us for kind in self.kinds.values()), default=0)
            self.shutdown = Shutdown(now, longest_us)

    def closable(self, now):
        """Keys of callers' connections that a process which is ending may close."""
        return [
            connection.key for connection in list(self.connections.values()) if self.shutdown.may_close(now, connection)
        ]

    def fail_open(self, now):
        """Every set-up that is open gets its final answer."""
        for connection in list(self.connections.values()):
            for held in list(connection.open.values()):
                self._fail_now(now, held, "the process is ending")

    def standing(self):
        return sum(len(central.standing) for central in self.centrals.values())

    def owes(self, now):
        """Whether anybody is owed an answer, a release now or one at a call's end."""
        return bool(self.being_set_up() or self.standing() or self.releases.is_due(now))

    def being_set_up(self):
        return sum(len(connection.open) for connection in self.connections.values())
