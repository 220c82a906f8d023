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
from thorndale.platform.caller_events import CallerEvents
from thorndale.platform.callers import CallerConnections
from thorndale.platform.calls import Seizure
from thorndale.platform.ended_calls import EndedCalls
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


class Border:
    """The state that the parts of the core share, seizures and established calls, and the exchange with the module. The
    events of the sockets go to `server_list`, `server_events` and `caller_events`."""

    def __init__(self, config, module, send, offset):
        self.config, self.send, self.offset = config, send, offset
        self.decision_host, self.timers = ModuleHost(module), Timers()
        self.connections = CallerConnections()
        self.calls, self.links = {}, {}  # calls by id, being set up or established; links by key
        self.releases, self.finished_calls = Releases(self.connections, send, self.increment, config.state_bound), []
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
        self.caller_events = CallerEvents(self)
        self.caller_opened, self.caller_message = self.caller_events.caller_opened, self.caller_events.caller_message
        self.caller_left, self.caller_lost = self.caller_events.caller_left, self.caller_events.caller_lost
        self.caller_unreadable, self.is_needed = self.caller_events.caller_unreadable, self.caller_events.is_needed

    # ---- start and server list ----

    def start(self, now):
        """Applies the server list in the configuration, which the module treats as a copy from disk."""
        entries = replay(self.config.known[1]).values()
        self.server_list.apply_entries(now, entries, True, True)
        self.timers.set(now + MAINTENANCE_PERIOD_US, self, "maintain")

    # ---- calls ----

    def finish_call(self, now, call):
        """Marks a call as finished and removes it from the tables."""
        call.finished, call.description = True, b""
        if call.forwarded:
            self.sent_ids.record(now, call.id, call.earlier)
        self.calls.pop(call.id, None)
        if call.connection is not None:
            call.connection.setups.pop(call.id, None)

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
        self.remove_established(now, call)
        if call.index >= 0:
            self.decision_host.add_event(
                io.SeizureEnded(call.index, call.seizure_count - 1, central.index, outcome, 0, 0, True, report)
            )
            self.finished_calls.append(call)
        self.server_list.forget_unused(central)

    def remove_established(self, now, call):
        call.central.established.pop(call.id, None)
        for connection in call.caller_connections:
            call.remove_caller_connection(connection)
        self.named_calls.remove(call)
        self.finish_call(now, call)

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
            self.increment("rejected")
        elif action_type is io.Fail:
            self._refuse_call(
                now, call, outcomes.ENGAGED if call.last_outcome == io.BUSY else outcomes.FAILED, action.reason
            )
            self.increment("failed")

    def _refuse_call(self, now, call, cause, why, comeback_us=0):
        key = call.connection.key
        self.finish_call(now, call)
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
            self.caller_events.forget_named(now, call, "its caller has gone")
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

    def increment(self, what):
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
                self.caller_events.answer_without_module(now, call, "the process is ending")

    def established_calls(self):
        return sum(len(central.established) for central in self.centrals.values())

    def has_undelivered_answers(self, now):
        """Whether any answer or release is still due, including the release at the end of an established call."""
        return bool(self.open_setups() or self.established_calls() or self.releases.has_undelivered(now))

    def open_setups(self):
        return sum(len(connection.setups) for connection in self.connections.values())
