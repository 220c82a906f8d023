"""The core of a border proxy on the platform, between callers, central servers and the decision module.

Usage: construct `Border(config, module, send, offset)`, where `send` carries out the socket actions, and call `start`.
Then call one method for each socket, timer or control feed event, and `flush` after each batch of them: it passes the
collected events to the module and carries out the actions that the module returns. Times are whole microseconds on a
monotonic clock; `offset` converts Unix times to that clock.

Calls being set up are identified by (connection, id), established calls by their id alone. Each seizure is reported to
the module as ended exactly once. An INVITE is built when it is written: a seizure whose connection is not open yet
exists only in this process and can be withdrawn. `releases` delivers the releases of ended calls to their callers;
`shutdown` decides which set-ups are accepted while the process ends.
"""

from thorndale import interface as io
from thorndale.module_host import ModuleHost
from thorndale.platform import central as sip
from thorndale.platform import isup, outcomes
from thorndale.platform.callers import CallerConnections
from thorndale.platform.calls import Call, Seizure
from thorndale.platform.ended_calls import EndedCalls
from thorndale.platform.errors import PlatformError
from thorndale.platform.feed import replay
from thorndale.platform.links import AbandonedSetups
from thorndale.platform.named_calls import NamedCalls
from thorndale.platform.releases import Releases
from thorndale.platform.sent_ids import SentIds
from thorndale.platform.server_events import ServerEvents
from thorndale.platform.server_list import ServerList
from thorndale.platform.shutdown import Shutdown
from thorndale.timers import Timers

MAINTENANCE_PERIOD_US = 50_000  # between two checks of undelivered releases and of connections to central servers
MAX_BATCH_EVENTS = 2_000  # read before the module decides: many connections may be read in one loop iteration


class Border:
    def __init__(self, config, module, send, offset):
        self.config, self.send, self.offset = config, send, offset
        self.decision_host, self.timers = ModuleHost(module), Timers()
        self.connections = CallerConnections()
        self.calls, self.links = {}, {}  # calls by id, being set up or established; links by key
        self.releases, self.finished_calls = Releases(self.connections, send, self._increment, config.state_bound), []
        self.ended_calls = EndedCalls(config.state_bound)
        self.abandoned, self.sent_ids = AbandonedSetups(config.state_bound), SentIds(config.state_bound)
        self.named_calls = NamedCalls(config.state_bound, config.settings["type_hold_us"])
        self.shutdown, self.probes_sent = None, 0  # shutdown: the plan, once the process has to end
        self.call_types = {call_type.index: call_type for call_type in config.call_types.values()}
        self.count = {}
        self.server_list = ServerList(self)
        self.centrals, self.by_index = self.server_list.centrals, self.server_list.by_index
        self.server_list_changed = self.server_list.server_list_changed
        self.server_events = ServerEvents(self)
        self.server_opened, self.server_lost = self.server_events.server_opened, self.server_events.server_lost
        self.server_progress, self.server_signal = self.server_events.server_progress, self.server_events.server_signal

    # ---- start and server list ----

    def start(self, now):
        """Applies the server list in the configuration, which the module treats as a copy from disk."""
        entries = replay(self.config.known[1]).values()
        self.server_list.apply_entries(now, entries, True, True)
        self.timers.set(now + MAINTENANCE_PERIOD_US, self, "maintain")

    # ---- callers ----

    def caller_opened(self, now, key):
        self.connections.add(key, now)
        self.send.log("connection", did="opened", connection=key)

    def caller_message(self, now, key, message):
        """Handles one framed message from a caller: (type, call id, parameters)."""
        connection = self.connections.get(key)
        if connection is None:
            return
        message_type, call_id, data = message
        self.connections.touch(connection, now)
        try:
            if message_type == isup.SETUP:
                self._setup(now, connection, call_id, isup.parameters(data))
            elif message_type == isup.RELEASE:
                self._caller_released(now, connection, call_id, isup.read_cause(isup.parameters(data)))
            elif message_type == isup.TEST:
                passed = self.shutdown is None
                self.send.to_caller(key, isup.encode(isup.RESULT, call_id, (isup.CAUSE, bytes((passed,)))))
            elif message_type == isup.RELEASE_COMPLETE:
                self.releases.release_answered(connection, call_id)
            else:
                raise PlatformError(f"type {message_type} from a caller", "message")
        except PlatformError as error:
            self._refuse_unusable(now, connection, call_id, error)
        if len(self.decision_host.events) >= MAX_BATCH_EVENTS:
            self.flush(now)

    def _refuse_unusable(self, now, connection, call_id, error):
        """Refuses an unusable message and closes its connection; calls of other connections are not affected."""
        self._increment("bad from callers")
        self.send.log("unusable message", fault=str(error), connection=connection.key, call=call_id.hex())
        call = connection.setups.get(call_id)
        if call is not None:
            self._abandon(now, call, "unusable message with its id")
        self.send.to_caller(connection.key, isup.release(call_id, outcomes.UNREADABLE))
        self._close_after_error(now, connection)

    def caller_unreadable(self, now, key):
        """Closes a caller's connection whose stream has become unreadable."""
        connection = self.connections.get(key)
        if connection is not None:
            self._close_after_error(now, connection)

    def _close_after_error(self, now, connection):
        """Closes a connection after an error of the caller; each set-up open on it gets a final answer first."""
        for call in list(connection.setups.values()):
            self._answer_without_module(now, call, "its connection is unusable")
        self.caller_lost(now, connection.key)
        self.send.end_caller(connection.key)

    def _answer_without_module(self, now, call, why):
        """Gives a set-up its final answer without the module: rejected if nothing was sent to a server under its id,
        else failed."""
        cause = outcomes.FAILED if call.earlier else outcomes.REJECTED
        self.send.to_caller(call.connection.key, isup.release(call.id, cause))
        self._abandon(now, call, why)

    def _setup(self, now, connection, call_id, values):
        setup = isup.read_setup(values, self.config.call_types)
        if not any(call_id):
            raise PlatformError("the id is zero", "set-up")
        call_type = self.call_types[setup.call_type]
        if setup.established_at:
            self._resume_established(now, connection, call_id, setup, call_type)
            return
        if call_id in connection.setups:
            raise PlatformError("a set-up with this id is open already", "set-up")
        if call_id in self.calls:
            raise PlatformError("the id belongs to another call", "set-up")
        if connection.peer_closed:
            self._increment("left by a lost connection")
            return
        connection.last_setup_at = now
        self._prove_connection(now, connection)
        within_us = setup.within_us
        if self.shutdown is not None:
            if not self.shutdown.accepts_setups(now):
                self._refuse_at_shutdown(connection, call_id)
                return
            within_us = self.shutdown.allowed_us(now, within_us)
        call = Call(connection, call_id, setup, call_type)
        call.index, call.earlier = self.decision_host.assign_index(call), self.sent_ids.find(call_id)
        self.calls[call_id] = connection.setups[call_id] = call
        self._increment("set-ups")
        self.log_call(
            call,
            "set-up",
            connection=connection.key,
            kind=call_type.name,
            within_ms=within_us // 1000,
            redial=setup.redial,
        )
        self.decision_host.add_event(
            io.Call(
                call.index,
                setup.call_type,
                0,
                int(setup.number, 16),
                within_us,
                setup.pool,
                setup.redial,
                setup.reattempt,
                call.earlier,
            )
        )

    def _prove_connection(self, now, connection):
        """Marks a connection as that of a caller, and sends the releases that wait for one."""
        self.connections.mark_proven(connection)
        self.releases.caller_proven(now)

    def confirm_connection(self, now, connection):
        """Marks a connection as that of a caller for whom a central server has held a call."""
        if not connection.confirmed:
            connection.confirmed = True
            self.releases.caller_confirmed(now, connection)

    def _refuse_at_shutdown(self, connection, call_id):
        self._increment("refused at shutdown")
        self.send.log("call", call=call_id.hex(), did="refused", connection=connection.key, why="the process is ending")
        cause = outcomes.FAILED if self.sent_ids.find(call_id) else outcomes.REJECTED
        self.send.to_caller(connection.key, isup.release(call_id, cause))

    def _resume_established(self, now, connection, call_id, setup, call_type):
        """Resumes a call established before a restart of this proxy, or on another connection: its caller names the
        central server. No answer is sent."""
        connection.last_setup_at = now
        self._prove_connection(now, connection)
        held_call = self.calls.get(call_id)
        if held_call is not None:
            self._named_while_held(now, connection, held_call)
            return
        self._increment("taken up")
        central = self.centrals.get(setup.established_at)
        ended = self.ended_calls.find(call_id)
        has_ended = ended is not None and ended.server == setup.established_at
        if central is None or central.proved_dead or has_ended:
            why = "its server is unknown" if central is None else "its server has ended it"
            fields = {"connection": connection.key, "server": setup.established_at, "why": why}
            self.send.log("call", call=call_id.hex(), did="not taken up", **fields)
            if has_ended or call_id in self.releases:
                self.releases.add(now, call_id, ended.cause if has_ended else outcomes.CUT, (connection,))
            else:  # nothing but its caller's word says that it ever stood: told there, and to nobody else
                self.send.to_caller(connection.key, isup.release(call_id, outcomes.CUT))
            return
        call = Call(connection, call_id, setup, call_type)
        call.central, call.description = central, b""
        self.calls[call_id] = central.established[call_id] = call
        call.add_caller_connection(connection)
        excess_call = self.named_calls.add(now, call, connection)
        if excess_call is not None:
            self._forget_named(now, excess_call, "too many calls are named")
        self.log_call(call, "taken up", connection=connection.key, server=central.name)
        if not central.links:
            self.server_events.open_link(now, central)

    def _forget_named(self, now, call, why):
        """Stops holding a call that this process knows by its caller's word only. Nothing is sent: if its server
        releases it later, its caller hears that when it names the call again."""
        self._increment("namings given up")
        self.log_call(call, "given up", server=call.central.name, why=why)
        self._remove_established(now, call)
        self.server_list.forget_unused(call.central)

    def _named_while_held(self, now, connection, call):
        """Handles the naming of a call that this process holds: its release goes to the naming connection too."""
        state = "being set up" if call.central is None else "established"
        self.log_call(call, "named while held", connection=connection.key, state=state)
        if call.central is not None:
            self.named_calls.named_again(now, call, connection)
            call.add_caller_connection(connection)

    def _caller_released(self, now, connection, call_id, cause):
        call = connection.setups.get(call_id)
        if call is not None:
            self._increment("given up by callers")
            self._abandon(now, call, "released by its caller")
            return
        call = self.calls.get(call_id)
        if call is not None and call.central is not None:
            self._increment("released by callers")
            self.log_call(call, "released by its caller", connection=connection.key, cause=cause)
            central = call.central
            self._prove_connection(now, connection)
            self.server_events.send_to_server(
                now, central, sip.bye(call.hex_id, 2, call.number, cause or outcomes.CLEARED)
            )
            self.end_established(now, call, io.COMPLETED, None, outcomes.CLEARED)
        elif call_id in self.releases:
            self._prove_connection(now, connection)

    def _abandon(self, now, call, why):
        """Drops a call that is being set up, whose caller needs no further answer."""
        self.log_call(call, "given up", why=why)
        self._finish_call(now, call)
        self.decision_host.add_event(io.CallerAbandoned(call.index))
        if call.seizure is not None:
            self.cancel_seizure(now, call.seizure, io.CANCELLED, True)
        self.finished_calls.append(call)

    def caller_left(self, now, key):
        """Handles a caller's close that lies behind messages that are not read yet: nobody waits for the answers to its
        set-ups any more. The other messages count as before."""
        connection = self.connections.get(key)
        if connection is not None:
            connection.peer_closed = True
            self._abandon_setups(now, connection)

    def _abandon_setups(self, now, connection):
        for call in list(connection.setups.values()):
            self._increment("left by a lost connection")
            self._abandon(now, call, "its connection has ended")

    def caller_lost(self, now, key):
        """Handles the end of a caller's connection: its open set-ups are dropped, established calls continue."""
        connection = self.connections.pop(key)
        if connection is None:
            return
        self._abandon_setups(now, connection)
        for call_id in list(connection.established):
            self.calls[call_id].remove_caller_connection(connection)
        self.named_calls.connection_ended(connection)
        self.releases.connection_ended(now, connection)

    def is_needed(self, key):
        """Whether an answer or a release is still due on a caller's connection."""
        connection = self.connections.get(key)
        return connection is not None and connection.is_needed()

    def _finish_call(self, now, call):
        """Marks a call as finished and removes it from the tables."""
        call.finished, call.description = True, b""
        if call.forwarded:
            self.sent_ids.record(now, call.id, call.earlier)
        self.calls.pop(call.id, None)
        if call.connection is not None:
            call.connection.setups.pop(call.id, None)

    # ---- central servers ----

    def release_to_caller(self, now, call, cause, report):
        """Ends an established call that its server has released, and queues the release to its caller."""
        self._end_and_release(now, call, outcomes.release_outcome(cause), report, cause or outcomes.CUT)

    def _end_and_release(self, now, call, outcome, report, cause):
        connections = call.caller_connections
        self.end_established(now, call, outcome, report, cause)
        self.releases.add(now, call.id, cause, connections)

    def end_established(self, now, call, outcome, report, cause):
        """Removes an established call and reports its end to the module. `cause`: the one told to its caller, now and
        if the call is named again."""
        central = call.central
        self.log_call(call, "over", server=central.name, outcome=outcomes.NAMES[outcome])
        self.ended_calls.record(now, call.id, central.name, cause)
        central.count("completed" if outcome == io.COMPLETED else "cut")
        self._remove_established(now, call)
        if call.index >= 0:
            self.decision_host.add_event(
                io.SeizureEnded(call.index, call.seizure_count - 1, central.index, outcome, 0, 0, True, report)
            )
            self.finished_calls.append(call)
        self.server_list.forget_unused(central)

    def _remove_established(self, now, call):
        call.central.established.pop(call.id, None)
        for connection in call.caller_connections:
            call.remove_caller_connection(connection)
        self.named_calls.remove(call)
        self._finish_call(now, call)

    def cut_established(self, now, central, why, proved=True):
        """Ends all established calls of a server that was proved dead (`proved`) or could not be reached for too
        long."""
        central.proved_dead |= proved
        if proved:
            central.unsent.clear()
        if central.established:
            self.send.log("calls cut", server=central.name, calls=len(central.established), why=why)
        for call in list(central.established.values()):
            self._end_and_release(now, call, io.RESET, None, outcomes.CUT)

    # ---- seizures ----

    def finish_seizure(self, seizure):
        """Marks a seizure as finished; the calling method reports its end, once."""
        seizure.finished = True
        self.timers.cancel(seizure.timer)
        seizure.timer = None
        seizure.call.seizure = None

    def end_seizure(self, now, seizure, outcome, report, final=False):
        self.finish_seizure(seizure)
        call, central = seizure.call, seizure.central
        call.last_outcome, final = outcome, final or call.finished
        if call.finished:
            self.finished_calls.append(call)
        central.count(outcomes.NAMES[outcome])
        self.log_call(
            call, "attempt ended", server=central.name, outcome=outcomes.NAMES[outcome], attempt=seizure.number
        )
        started_at = seizure.requested_at if seizure.sent_at is None else seizure.sent_at
        self.decision_host.add_event(
            io.SeizureEnded(call.index, seizure.number, central.index, outcome, 0, now - started_at, final, report)
        )

    def cancel_seizure(self, now, seizure, outcome, final):
        """Withdraws a seizure: sends a CANCEL if its INVITE was written, else the INVITE is never written."""
        link, call = seizure.link, seizure.call
        if seizure.sent_at is None:
            del link.in_flight[call.hex_id]
            outcome = io.UNREACHABLE if outcome == io.TIMED_OUT else io.NOT_SENT
        else:
            self.send.to_server(link.key, sip.cancel(call.hex_id, 1, call.number))
            self.abandoned.add(now, seizure)
        self.end_seizure(now, seizure, outcome, None, final)

    def timed_out(self, now, seizure):
        if not seizure.finished:
            self.cancel_seizure(now, seizure, io.TIMED_OUT, False)

    # ---- the module ----

    def due(self, now, name):
        if name == "maintain":
            self._maintain(now)
            self.timers.set(now + MAINTENANCE_PERIOD_US, self, "maintain")
        else:
            self.decision_host.add_event(io.TimerFired(name))

    def run(self, now, most=1 << 30):
        return self.timers.run(now, most)

    def flush(self, now):
        """Passes events to the module and carries out its actions until there are no further events."""
        while self.decision_host.events:
            for action in self.decision_host.run_batch(now):
                self._apply_action(now, action)
        for call in self.finished_calls:
            if call.index >= 0 and call.seizure is None:
                self.decision_host.release_index(call.index)
                call.index = -1
        self.finished_calls.clear()

    def _apply_action(self, now, action):
        action_type = type(action)
        if action_type is io.SetTimer:
            self.timers.set(action.at_us, self, action.token)
            return
        if action_type is io.Log:
            self.send.log("module", text=self._with_server_name(action.text))
            return
        if action_type is io.SubscribeList:
            return  # the control feed is always followed
        call = self.decision_host.calls[action.call]
        if call is None or call.finished:
            return
        if action_type is io.Seize:
            self._start_seizure(now, call, action)
        elif action_type is io.Cancel:
            if call.seizure is not None and call.seizure.number == action.seizure:
                self.cancel_seizure(now, call.seizure, io.CANCELLED, True)
        elif action_type is io.Reject:
            self._refuse_call(now, call, outcomes.REJECTED, action.reason, action.comeback_us)
            self._increment("rejected")
        elif action_type is io.Fail:
            self._refuse_call(
                now, call, outcomes.ENGAGED if call.last_outcome == io.BUSY else outcomes.FAILED, action.reason
            )
            self._increment("failed")

    def _refuse_call(self, now, call, cause, why, comeback_us=0):
        key = call.connection.key
        self._finish_call(now, call)
        accepted = self.send.to_caller(key, isup.release(call.id, cause, comeback_us))
        self.log_call(
            call, "refused", connection=key, cause=cause, why=why, taken=accepted, attempts=call.seizure_count
        )
        self.finished_calls.append(call)

    def _start_seizure(self, now, call, action):
        central = self.by_index[action.server]
        seizure = call.seizure = Seizure(self, call, call.seizure_count, central, now, now + max(1, action.timeout_us))
        call.seizure_count += 1
        link, open_another = central.choose(call.hex_id)
        if open_another:
            opened = self.server_events.open_link(now, central)
            link = link or opened
        seizure.link = link
        link.in_flight[call.hex_id] = seizure
        seizure.timer = self.timers.set(seizure.deadline, seizure, "late")
        if link.is_open:
            self.server_events.send_invite(now, seizure)

    def _with_server_name(self, text):
        """A log line of the module with the server's id in place of its index."""
        head, space, rest = text.partition(" ")
        index, colon, tail = rest.partition(":")
        if head == "server" and index.isdigit() and int(index) in self.by_index:
            return f"{head} {self.by_index[int(index)].name}{colon}{tail}"
        return text

    # ---- periodic check of releases and connections ----

    def _maintain(self, now):
        self.releases.maintain(now)
        self.ended_calls.expire(now)
        self.abandoned.expire(now)
        self.sent_ids.expire(now)
        for call in self.named_calls.expired(now):
            self._forget_named(now, call, "its caller has gone")
        for central in list(self.centrals.values()):
            for link in list(central.links):
                action = central.check_silence(link, now)
                if action == "probe":
                    link.probe_sent_at = now
                    self.probes_sent += 1
                    self.send.to_server(link.key, sip.options(f"{self.probes_sent:016x}", 1))
                elif action == "dead":
                    central.count("silent connections")
                    self.server_events.drop_link(now, link)
            if central.is_unreachable(now):
                self.cut_established(now, central, "cannot be reached", proved=False)
            if central.needs_connection(now):
                self.server_events.open_link(now, central)

    # ---- counters and log ----

    def log_call(self, call, did, **fields):
        """Logs one step of a call under its id."""
        self.send.log("call", call=call.hex_id, did=did, **fields)

    def _increment(self, what):
        self.count[what] = self.count.get(what, 0) + 1

    # ---- shutdown ----

    def stop(self, now):
        """Begins the shutdown: health tests fail from now on, and `shutdown` decides which set-ups are accepted."""
        if self.shutdown is None:
            longest_us = max((call_type.guard_us for call_type in self.call_types.values()), default=0)
            self.shutdown = Shutdown(now, longest_us)

    def closable_connections(self, now):
        """Keys of callers' connections that may be closed during the shutdown."""
        return [
            connection.key for connection in list(self.connections.values()) if self.shutdown.may_close(now, connection)
        ]

    def fail_open_setups(self, now):
        """Gives every open set-up its final answer."""
        for connection in list(self.connections.values()):
            for call in list(connection.setups.values()):
                self._answer_without_module(now, call, "the process is ending")

    def established_calls(self):
        return sum(len(central.established) for central in self.centrals.values())

    def has_undelivered_answers(self, now):
        """Whether any answer or release is still due, including the release at the end of an established call."""
        return bool(self.open_setups() or self.established_calls() or self.releases.has_undelivered(now))

    def open_setups(self):
        return sum(len(connection.setups) for connection in self.connections.values())
