"""What the record of a call says, from the call as it is."""

from thorndale.call import causes
from thorndale.records.record import NO, YES, Record, Try

BY = {0: "caller", 1: "server", -1: "proxy"}


def _clean(text):
    """Bytes from the wire that are no UTF-8 come as surrogates, which a record can't hold: they are written out."""
    return text if text.isascii() else text.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")


def of_call(call, now, how="", by="", status=0):
    """The Record of a call; with `how` its end, else as far as it goes."""
    border = call.border
    names = border.server_names
    legs = call.legs
    group = border.server_groups[call.server] if call.server >= 0 else border.settings.trunk_groups[call.group].name
    server_leg = f"{call.id}b{call.seizures - 1}" if call.seizures else ""
    return Record(
        call.id,
        _clean(legs[0].call_id),
        _clean(legs[0].remote_tag),
        server_leg,
        call.came,
        call.stood_at,
        now if how else 0,
        border.wall_offset_us,
        border.type_names[call.kind],
        border.client_names[call.client],
        group,
        names[call.server] if call.server >= 0 else "",
        border.hide(_clean(call.caller)),
        _clean(call.number),
        call.rule,
        call.rules,
        border.revenue_classes[call.kind],
        call.priority,
        [Try(names[server], causes.OUTCOME_NAMES[outcome], at, took) for server, outcome, at, took in call.told],
        YES if call.stood_at else NO,
        status,
        how,
        by,
        call.caller_seq,
    )


def of_refused(border, now, message, status, how):
    """The Record of an INVITE that became no call: refused before it was sorted."""
    return Record(
        border.token(),
        _clean(message.call_id),
        _clean(message.from_tag),
        came_us=now,
        ended_us=now,
        anchor_us=border.wall_offset_us,
        number=_clean(message.uri.partition("@")[0].rpartition(":")[2][:40]),
        rules=border.sorter.rules.digest,
        status=status,
        how=how,
        by="proxy",
        caller_seq=message.cseq[0],
    )
