"""Builds call records from the current state of calls and from refused requests."""

from thorndale.call import causes
from thorndale.records.record import NO, YES, Record, SeizureRecord

RELEASED_BY = {0: "caller", 1: "server", -1: "proxy"}


def _valid_utf8(text):
    """Escapes surrogates, which stand for received bytes that are not UTF-8 and cannot be encoded in a record."""
    return text if text.isascii() else text.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")


def call_record(call, now, how="", by="", status=0):
    """The Record of a call: with `how`, of its end, else of its state so far."""
    border = call.border
    server_names = border.server_names
    legs = call.legs
    group = border.server_groups[call.server] if call.server >= 0 else border.settings.trunk_groups[call.group].name
    server_leg = f"{call.id}b{call.seizure_count - 1}" if call.seizure_count else ""
    return Record(
        call.id,
        _valid_utf8(legs[0].call_id),
        _valid_utf8(legs[0].remote_tag),
        server_leg,
        call.received_at,
        call.answered_at,
        now if how else 0,
        border.wall_offset_us,
        border.type_names[call.call_type],
        border.client_names[call.client],
        group,
        server_names[call.server] if call.server >= 0 else "",
        border.mask_caller(_valid_utf8(call.caller)),
        _valid_utf8(call.number),
        call.rule,
        call.rules,
        border.revenue_classes[call.call_type],
        call.priority,
        [
            SeizureRecord(server_names[server], causes.OUTCOME_NAMES[outcome], sent_at, elapsed)
            for server, outcome, sent_at, elapsed in call.seizure_results
        ],
        YES if call.answered_at else NO,
        status,
        how,
        by,
        call.caller_seq,
    )


def refused_invite_record(border, now, message, status, how):
    """The Record of an INVITE that was refused before it became a call."""
    return Record(
        border.token(),
        _valid_utf8(message.call_id),
        _valid_utf8(message.from_tag),
        came_us=now,
        ended_us=now,
        anchor_us=border.wall_offset_us,
        number=_valid_utf8(message.uri.partition("@")[0].rpartition(":")[2][:40]),
        rules=border.classifier.rules.digest,
        status=status,
        how=how,
        by="proxy",
        caller_seq=message.cseq[0],
    )
