"""State that grows with what callers send: each container has a bound, costs honest callers nothing there, and is
given back (docs/platform.md, 'Bounds')."""

from platform_rig import Rig, S

from thorndale.platform import isup

MEMORY_MB = 32  # the least that the platform gives; 3,200 items of each kind


def small_rig():
    rig = Rig(limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256})
    rig.open_dialled()
    return rig, rig.core.config.state_bound


def identifiers(first, count):
    return [(first + n).to_bytes(8, "big") for n in range(count)]


def name(rig, conn, calls, server="s-0000000a"):
    for call in calls:
        rig.setup(conn, call=call, figures=f"dest:0;width:1;via:-1;at:{server}".encode())


def causes(rig, conn, call):
    received = rig.received_by.get(conn, ())
    return [values[isup.CAUSE][0] for kind, c, values in received if kind == isup.RELEASE and c == call]


# Review case 6: calls named under ids that no server knows were held without bound and without end.
def test_calls_named_under_unknown_ids_are_bounded_and_given_back():
    rig, bound = small_rig()
    rig.caller("bad")
    honest = identifiers(1 << 40, 1_000)
    name(rig, "c", honest)
    name(rig, "bad", identifiers(1 << 50, bound + 2_000))
    assert len(rig.core.calls) == len(rig.core.named_calls) == rig.core.established_calls() == bound
    assert all(call in rig.core.calls for call in honest), "a bad client's namings displaced a caller's"
    key = next(key for key, link in rig.core.links.items() if link.central.name == "s-0000000a")
    rig.bye(key, honest[0])
    assert causes(rig, "c", honest[0]) == [16]
    for call in honest[1:]:
        rig.release(call)
    rig.deliver("caller_lost", "bad")
    rig.advance(2 * rig.core.named_calls.retention_us)
    assert not rig.core.calls and not rig.core.established_calls() and len(rig.core.named_calls) == 0


# A bound must cost no honest caller: after a restart thousands of standing calls are named within seconds.
def test_thousands_of_calls_named_after_a_restart_are_held_as_long_as_their_caller_is_connected():
    rig = Rig()
    rig.open_dialled()
    calls = identifiers(1 << 40, 5_000)
    name(rig, "c", calls)
    rig.advance(3 * rig.core.named_calls.retention_us)
    assert rig.core.established_calls() == 5_000 and not rig.core.count.get("namings given up")
    key = next(key for key, link in rig.core.links.items() if link.central.name == "s-0000000a")
    rig.bye(key, calls[0])
    assert causes(rig, "c", calls[0]) == [16]


def test_a_naming_on_a_new_connection_counts_for_that_one():
    rig, _ = small_rig()
    (call,) = identifiers(1 << 40, 1)
    name(rig, "c", [call])
    rig.deliver("caller_lost", "c")
    rig.advance(rig.core.named_calls.retention_us - S)
    rig.caller("d")
    name(rig, "d", [call])
    rig.advance(rig.core.named_calls.retention_us)
    assert call in rig.core.calls
