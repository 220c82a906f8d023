"""The connections from callers in the core of a border proxy: set-ups, namings and releases that they bring, and what
the end of one means for its calls. No I/O."""

from thorndale import interface as io
from thorndale.platform import central as sip
from thorndale.platform import isup, outcomes
from thorndale.platform.calls import Call
from thorndale.platform.errors import PlatformError

MAX_BATCH_EVENTS = 2_000  # read before the module decides: many connections may be read in one loop iteration


class CallerEvents:
    """Handles the events of the callers' connections. `border`: the core that has them."""

    def __init__(self, border):
        self.border, self.config, self.send = border, border.config, border.send
        self.connections, self.calls, self.releases = border.connections, border.calls, border.releases
        self.call_types, self.named_calls = border.call_types, border.named_calls
        self.ended_calls, self.sent_ids = border.ended_calls, border.sent_ids

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
                passed = self.border.shutdown is None
                self.send.to_caller(key, isup.encode(isup.RESULT, call_id, (isup.CAUSE, bytes((passed,)))))
            elif message_type == isup.RELEASE_COMPLETE:
                self.releases.release_answered(connection, call_id)
            else:
                raise PlatformError(f"type {message_type} from a caller", "message")
        except PlatformError as error:
            self._refuse_unusable(now, connection, call_id, error)
        if len(self.border.decision_host.events) >= MAX_BATCH_EVENTS:
            self.border.flush(now)

    def _refuse_unusable(self, now, connection, call_id, error):
        """Refuses an unusable message and closes its connection; calls of other connections are not affected."""
        self.border.increment("bad from callers")
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
            self.answer_without_module(now, call, "its connection is unusable")
        self.caller_lost(now, connection.key)
        self.send.end_caller(connection.key)

    def answer_without_module(self, now, call, why):
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
            self.border.increment("left by a lost connection")
            return
        connection.last_setup_at = now
        self._prove_connection(now, connection)
        within_us = setup.within_us
        if self.border.shutdown is not None:
            if not self.border.shutdown.accepts_setups(now):
                self._refuse_at_shutdown(connection, call_id)
                return
            within_us = self.border.shutdown.allowed_us(now, within_us)
        call = Call(connection, call_id, setup, call_type)
        call.index, call.earlier = self.border.decision_host.assign_index(call), self.sent_ids.find(call_id)
        self.calls[call_id] = connection.setups[call_id] = call
        self.border.increment("set-ups")
        self.border.log_call(
            call,
            "set-up",
            connection=connection.key,
            kind=call_type.name,
            within_ms=within_us // 1000,
            redial=setup.redial,
        )
        self.border.decision_host.add_event(
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
        self.border.increment("refused at shutdown")
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
        self.border.increment("taken up")
        central = self.border.centrals.get(setup.established_at)
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
            self.forget_named(now, excess_call, "too many calls are named")
        self.border.log_call(call, "taken up", connection=connection.key, server=central.name)
        if not central.links:
            self.border.server_events.open_link(now, central)

    def forget_named(self, now, call, why):
        """Stops holding a call that this process knows by its caller's word only. Nothing is sent: if its server
        releases it later, its caller hears that when it names the call again."""
        self.border.increment("namings given up")
        self.border.log_call(call, "given up", server=call.central.name, why=why)
        self.border.remove_established(now, call)
        self.border.server_list.forget_unused(call.central)

    def _named_while_held(self, now, connection, call):
        """Handles the naming of a call that this process holds: its release goes to the naming connection too."""
        state = "being set up" if call.central is None else "established"
        self.border.log_call(call, "named while held", connection=connection.key, state=state)
        if call.central is not None:
            self.named_calls.named_again(now, call, connection)
            call.add_caller_connection(connection)

    def _caller_released(self, now, connection, call_id, cause):
        call = connection.setups.get(call_id)
        if call is not None:
            self.border.increment("given up by callers")
            self._abandon(now, call, "released by its caller")
            return
        call = self.calls.get(call_id)
        if call is not None and call.central is not None:
            self.border.increment("released by callers")
            self.border.log_call(call, "released by its caller", connection=connection.key, cause=cause)
            central = call.central
            self._prove_connection(now, connection)
            self.border.server_events.send_to_server(
                now, central, sip.bye(call.hex_id, 2, call.number, cause or outcomes.CLEARED)
            )
            self.border.end_established(now, call, io.COMPLETED, None, outcomes.CLEARED)
        elif call_id in self.releases:
            self._prove_connection(now, connection)

    def _abandon(self, now, call, why):
        """Drops a call that is being set up, whose caller needs no further answer."""
        self.border.log_call(call, "given up", why=why)
        self.border.finish_call(now, call)
        self.border.decision_host.add_event(io.CallerAbandoned(call.index))
        if call.seizure is not None:
            self.border.cancel_seizure(now, call.seizure, io.CANCELLED, True)
        self.border.finished_calls.append(call)

    def caller_left(self, now, key):
        """Handles a caller's close that lies behind messages that are not read yet: nobody waits for the answers to its
        set-ups any more. The other messages count as before."""
        connection = self.connections.get(key)
        if connection is not None:
            connection.peer_closed = True
            self._abandon_setups(now, connection)

    def _abandon_setups(self, now, connection):
        for call in list(connection.setups.values()):
            self.border.increment("left by a lost connection")
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
