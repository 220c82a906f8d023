"""The list of central servers in the core of a border proxy: what a change of the list means for servers, calls and
connections. No I/O."""

from thorndale import interface as io
from thorndale.platform.links import CentralServer, displaced_servers


class ServerList:
    """The servers by name (`centrals`) and by the index at the module (`by_index`). `border`: the core that has it."""

    def __init__(self, border):
        self.border, self.config, self.send = border, border.config, border.send
        self.centrals, self.by_index, self.next_index, self.list_events = {}, {}, 0, 0

    def server_list_changed(self, now, event):
        """Applies a control feed event; events arrive in order and without repeats."""
        self.apply_entries(now, event.entries, event.whole, False)

    def apply_entries(self, now, entries, whole, from_disk):
        self.list_events += 1
        changed = {}  # CentralServers, as the keys of a dict: each once, in the order of the list
        for entry in entries:
            central = self._listed_server(entry)
            if central is not None:
                self._update_server(now, central, entry)
                changed[central] = None
        if whole:
            self._mark_unlisted(now, {entry.name for entry in entries})
        for central in displaced_servers(self.centrals.values()):
            self.send.log("server displaced", server=central.name, host=central.host, port=central.port)
            central.state, central.displaced = io.GONE, True
            self.border.server_events.withdraw_unsent(now, central)
            changed[central] = None
        if changed or whole:
            servers = tuple(io.Server(c.index, c.pool, c.state, c.started_us, c.zone) for c in changed)
            self.border.decision_host.add_event(io.Servers(servers, whole, from_disk))
        for central in list(self.centrals.values()):
            if central.state == io.GONE:
                self.server_gone(now, central)

    def _listed_server(self, entry):
        """The server of a list entry, made anew where it is not known; None if it is gone and not known."""
        central = self.centrals.get(entry.name)
        if central is None and entry.state != io.GONE:
            central = CentralServer(self.next_index, entry.name, self.config.state_bound)
            self.centrals[entry.name] = self.by_index[self.next_index] = central
            self.next_index += 1
        return central

    def _update_server(self, now, central, entry):
        started_us = max(1, entry.started_ms * 1000 - self.border.offset) if entry.started_ms else 0
        if entry.state != io.SERVING or central.started_us != started_us:
            self.border.server_events.withdraw_unsent(now, central)
        if central.started_us != started_us and central.state >= 0 and entry.state == io.SERVING:
            self.border.cut_established(now, central, "restarted")
        moved = (central.host, central.port) != (entry.host, entry.port)
        central.host, central.port, central.pool, central.zone = entry.host, entry.port, entry.pool, entry.zone
        central.state, central.started_us, central.displaced = entry.state, started_us, False
        if moved:  # only now, so that the links for established calls are opened to the new address
            central.address_since = self.list_events
            for link in list(central.links):
                self.border.server_events.drop_link(now, link)

    def _mark_unlisted(self, now, listed_names):
        """A server that is missing in a whole list is gone."""
        for central in list(self.centrals.values()):
            if central.name not in listed_names and (central.state != io.GONE or central.displaced):
                central.state, central.displaced = io.GONE, False
                self.border.server_events.withdraw_unsent(now, central)

    def server_gone(self, now, central):
        """Handles a server that the list reports as gone. Its established calls continue while a connection to it is
        open. No new connection is opened, since another server may have its address by now. One that was opened after
        a loss may lead to that other server, which would never release these calls, so it is closed."""
        for link in central.links_after_loss():
            self.border.server_events.drop_link(now, link)
        if not any(link.is_open for link in central.links):
            for link in list(central.links):
                self.border.server_events.drop_link(now, link)
            self.border.cut_established(now, central, "gone")
            self.forget_unused(central)

    def forget_unused(self, central):
        if central.state == io.GONE and not (central.displaced or central.links or central.established):
            self.centrals.pop(central.name, None)
            self.by_index.pop(central.index, None)
