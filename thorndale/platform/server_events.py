"""The connections to central servers in the core of a border proxy: what is sent on them, what is received and what the
end of one means for its set-ups and calls. No I/O."""

from thorndale import interface as io
from thorndale.platform import central as sip
from thorndale.platform import isup, outcomes
from thorndale.platform.description import is_description
from thorndale.platform.errors import PlatformError
from thorndale.platform.links import Link


class ServerEvents:
    """Handles the events of the servers' connections. `border`: the core that has them."""

    def __init__(self, border):
        self.border, self.config, self.send = border, border.config, border.send
        self.links, self.calls, self.abandoned = border.links, border.calls, border.abandoned

    def open_link(self, now, central):
        key = self.send.connect(central.host, central.port)
        link = self.links[key] = Link(key, central, now)
        central.links.append(link)
        central.count("connections")
        return link

    def send_to_server(self, now, central, data):
        """Sends a message about an established call on any connection to its server, opening one if there is none."""
        link = central.first_open_link() or (central.links[0] if central.links else None)
        if link is None:
            if central.state == io.GONE:
                return
            link = self.open_link(now, central)
        if link.is_open:
            self.send.to_server(link.key, data)
        else:
            central.unsent.append(data)

    def send_invite(self, now, seizure):
        """Writes the INVITE of a seizure. A seizure that ends before this was certainly not handled by the server; one
        that ends later may have been."""
        call = seizure.call
        if self.send.to_server(
            seizure.link.key,
            sip.invite(call.hex_id, 1, call.number, call.call_type.name, seizure.deadline - now, call.description),
        ):
            seizure.sent_at, call.forwarded = now, True
            first_sent_at = call.earlier.sent_at_us if call.earlier else now
            call.earlier = io.EarlierAttempt(seizure.central.index, first_sent_at)
            seizure.central.count("sent")
            self.border.log_call(
                call, "sent", server=seizure.central.name, link=seizure.link.key, attempt=seizure.number
            )

    def withdraw_unsent(self, now, central):
        """Withdraws unwritten set-ups from a server that is leaving or was restarted, so that the module can route them
        to another one."""
        for link in central.links:
            for seizure in [s for s in link.in_flight.values() if s.sent_at is None]:
                self.border.cancel_seizure(now, seizure, io.NOT_SENT, False)

    def server_opened(self, now, key):
        link = self.links.get(key)
        if link is not None:
            link.central.connection_opened(link, now)
            self.send.log("server connection", did="opened", server=link.central.name, link=key)
            while link.central.unsent:
                self.send.to_server(key, link.central.unsent.popleft())
            for seizure in link.in_flight.values():
                self.send_invite(now, seizure)

    def server_lost(self, now, key, kind):
        """Handles the end of a connection to a central server; `kind` is 'refused', 'unreached', 'lost' or, for a
        malformed stream, 'spoilt'."""
        link = self.links.pop(key, None)
        if link is not None:
            self._link_ended(now, link, kind)

    def drop_link(self, now, link):
        """Closes a connection to a central server; set-ups in flight on it end as reset, or as not sent."""
        if self.links.pop(link.key, None) is None:
            return
        self.send.end_server(link.key)
        self._link_ended(now, link, "lost")

    def _link_ended(self, now, link, kind):
        central = link.central
        self.send.log(
            "server connection",
            did=kind,
            server=central.name,
            link=link.key,
            out=len(link.in_flight),
            standing=len(central.established),
        )
        if link in central.links:
            central.links.remove(link)
        central.count(f"connections {kind}")
        if kind == "lost":
            central.last_lost_at = now
        in_flight, link.in_flight = link.in_flight, {}
        for seizure in in_flight.values():
            if seizure.finished:
                self.abandoned.remove(seizure)
            else:
                self.border.end_seizure(
                    now, seizure, outcomes.connection_outcome(kind, seizure.sent_at is not None), None
                )
        is_first = central.connection_failed(now)
        if kind == "refused" and not any(other.is_open for other in central.links):
            self.border.cut_established(now, central, "refuses connections")
        if central.state == io.GONE:
            self.border.server_list.server_gone(now, central)
        elif (central.established or central.unsent) and kind in ("lost", "spoilt"):
            # The server repeats a release that was lost with the old connection on the next one that opens.
            central.replacement_needed_since = now
            if is_first:
                self.open_link(now, central)

    def server_progress(self, now, key):
        """Records that part of a message has arrived from a central server."""
        link = self.links.get(key)
        if link is not None:
            link.partial_received(now)

    def server_signal(self, now, key, signal):
        link = self.links.get(key)
        if link is None:
            return
        central = link.central
        central.message_received(link, now)
        if signal.status:
            if signal.method == "INVITE":
                self._invite_answered(now, link, signal)
        elif signal.method == "BYE":
            self._server_released(now, link, signal)
        elif signal.method == "NOTIFY" and signal.report and central.uses_reports_of(link):
            report = sip.report(signal.report, self.config.fields)
            central.count("states")
            self.border.decision_host.add_event(io.ServerReport(central.index, report, False))

    def _invite_answered(self, now, link, signal):
        if signal.status < 200:
            return
        seizure = link.in_flight.get(signal.call)
        if seizure is None or seizure.sent_at is None:
            link.central.count("answers of nothing open")
            return
        call, central = seizure.call, link.central
        if signal.status < 300:
            if not is_description(signal.body):
                raise PlatformError("unreadable description in an answer", central.name)
            del link.in_flight[signal.call]
            self.abandoned.remove(seizure)
            self.send.to_server(link.key, sip.ack(call.hex_id, signal.number, call.number))
            if seizure.finished or call.finished:
                central.count("late answers")
                self.border.log_call(call, "late answer", server=central.name)
                # A BYE would end a later seizure of the call at the same server.
                if call.seizure is None or call.seizure.central is not central:
                    self.send.to_server(link.key, sip.bye(call.hex_id, 2, call.number, outcomes.CLEARED))
                if not seizure.finished:
                    self.border.end_seizure(now, seizure, io.CANCELLED, None)
                return
            self._call_established(now, seizure, signal.body)
            return
        del link.in_flight[signal.call]
        self.abandoned.remove(seizure)
        self.send.to_server(link.key, sip.ack(call.hex_id, signal.number, call.number))
        if not seizure.finished:
            report = sip.report(signal.report, self.config.fields) if signal.report else None
            self.border.end_seizure(now, seizure, outcomes.refusal_outcome(signal.status, signal.note), report)

    def _call_established(self, now, seizure, body):
        call, central = seizure.call, seizure.central
        self.border.finish_seizure(seizure)
        response_us = now - seizure.sent_at
        central.count("stood")
        central.response_times_us.append(response_us)
        accepted = self.send.to_caller(call.connection.key, isup.encode(isup.ANSWER, call.id, (isup.DESCRIPTION, body)))
        call.connection.setups.pop(call.id, None)
        call.add_caller_connection(call.connection)
        call.central, call.description = central, b""
        central.established[call.id] = call
        if accepted:
            self.border.caller_events.confirm_connection(now, call.connection)
        self.border.log_call(
            call,
            "stood",
            connection=call.connection.key,
            server=central.name,
            taken=accepted,
            lag_ms=response_us // 1000,
        )
        self.border.decision_host.add_event(io.Answered(call.index, seizure.number, central.index, response_us))
        if seizure.early_cause is not None:
            self.border.release_to_caller(now, call, seizure.early_cause, None)
        elif not accepted:  # its caller's connection is closing, so the call has no caller
            self.send.to_server(seizure.link.key, sip.bye(call.hex_id, 2, call.number, outcomes.CLEARED))
            self.border.end_established(now, call, io.COMPLETED, None, outcomes.CLEARED)

    def _server_released(self, now, link, signal):
        central = link.central
        self.send.to_server(link.key, sip.ok_to(signal))
        try:
            call_id = bytes.fromhex(signal.call)
        except ValueError:
            call_id = b""
        call = self.calls.get(call_id)
        if call is None:
            central.count("releases of nothing open")
            self.send.log(
                "call", call=signal.call, did="release of nothing open", server=central.name, cause=signal.cause
            )
            if self.border.ended_calls.find(call_id) is None:
                self.border.ended_calls.record(now, call_id, central.name, signal.cause or outcomes.CUT)
            return
        report = sip.report(signal.report, self.config.fields) if signal.report else None
        seizure = call.seizure
        if call.central is central:
            for connection in call.caller_connections:
                self.border.caller_events.confirm_connection(now, connection)
            self.border.release_to_caller(now, call, signal.cause, report)
        elif seizure is not None and seizure.central is central:
            self._released_before_answer(now, seizure, signal.cause, report)

    def _released_before_answer(self, now, seizure, cause, report):
        """Handles a BYE for a call whose answer has not been read: the answer may still be unread on another
        connection, and the call is then answered and released at once. If the call had an earlier seizure at this
        server, the BYE may belong to that one and is ignored."""
        if not outcomes.ends_established_call(cause):
            seizure.link.in_flight.pop(seizure.call.hex_id, None)
            self.border.end_seizure(now, seizure, io.RESET, report)
        elif not seizure.is_repeat:
            seizure.early_cause = cause
            self.border.log_call(seizure.call, "released before its answer", server=seizure.central.name, cause=cause)
