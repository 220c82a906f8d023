"""Verification locates damage: any flipped bit, a missing segment, a swapped pair, a truncated copy."""

import pytest
from records.disk import Disk
from records.proxy import Recorder, all_lines
from records.test_store import small_run, verify

from thorndale.records import folder as fo
from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.read import distinct, find, lines, source
from thorndale.records.record import Record, decode, encode
from thorndale.records.settle import StoppedCalls, resolutions


@pytest.fixture
def disk():
    disk = Disk()
    recorder = small_run(disk)
    recorder.work()
    recorder.close()
    Recorder(disk, "b2").close()
    assert not verify(disk).findings and len(fo.numbers(disk)) >= 4
    return disk


def test_every_flipped_bit_of_a_sealed_segment_is_found_at_its_place(disk):
    for name, bits in ((s.name_of(1), range(8)), (s.name_of(fo.numbers(disk)[-1]), (3,))):
        stored = disk.entries[name].data
        for at in range(len(stored)):
            for bit in bits:
                stored[at] ^= 1 << bit
                found = s.parse(name, bytes(stored)).findings
                assert any(x.at <= at < x.end for x in found), (name, at, bit, found)
                stored[at] ^= 1 << bit


def test_a_changed_byte_with_a_repaired_checksum_is_found(disk):
    name = s.name_of(2)
    stored = disk.entries[name]
    item = next(x for x in f.scan(bytes(stored.data)) if isinstance(x, f.Frame) and x.kind == f.WHOLE)
    record = decode(Record, item.body)
    record.status = 499
    stored.data[item.at : item.end] = f.pack(item.kind, item.seq, encode(record))
    found = verify(disk).findings
    assert [x.name for x in found] == [name] and "not those that were sealed" in found[0].what


def test_a_missing_segment_and_a_swapped_pair(disk):
    gone = disk.entries.pop(s.name_of(2))
    assert [str(x) for x in verify(disk).findings] == [f"{s.name_of(2)}: is missing"]
    disk.entries[s.name_of(2)] = gone
    one, two = s.name_of(2), s.name_of(3)
    disk.entries[one], disk.entries[two] = disk.entries[two], disk.entries[one]
    found = verify(disk).findings
    assert {x.name for x in found if "by its opening" in x.what} == {one, two}


def test_a_truncated_segment_is_found(disk):
    stored = disk.entries[s.name_of(2)]
    whole = bytes(stored.data)
    for size in (0, 10, len(whole) // 2, len(whole) - 1):
        stored.data = bytearray(whole[:size])
        assert any(x.name == s.name_of(2) for x in verify(disk).findings), size
    stored.data = bytearray(whole)


def test_tombstones_replace_erased_segments(disk):
    before = [line.record.call for line in all_lines(disk)]
    wall = max(line.record.wall_us(line.record.ended_us) for line in all_lines(disk))
    assert fo.erase(disk, wall, 1 << 50) == []
    written = fo.erase(disk, wall + (1 << 51), 1 << 50)
    assert len(written) >= 2
    assert fo.numbers(disk)[0] == len(written) + 1
    found = verify(disk)
    assert not found.findings and found.erasures == len(written)
    after = [line.record.call for line in all_lines(disk)]
    assert after and before[-len(after) :] == after
    disk.entries.pop(fo.TOMBSTONES)
    assert any("is missing" in x.what for x in verify(disk).findings)


def test_a_newer_major_version_is_kept_and_counted_but_not_decoded(disk):
    disk.entries.clear()
    recorder = Recorder(disk, "b1")
    recorder.refused("one")
    recorder.work()
    seq = recorder.journal.next_seq
    disk.append(s.name_of(1), f.pack(f.WHOLE, seq, b"\x93new", major=2))
    after = Recorder(disk.after_kill(), "b2")
    after.refused("two")
    after.work()
    after.close()
    from collections import Counter

    count = Counter()
    assert [line.record.call for line in lines(disk, count)] == ["one", "two"]
    assert count["newer"] == 1 and not verify(disk).findings and verify(disk).newer == 1


def test_a_call_is_found_by_the_index(disk):
    rows = {line.record.call: line for line in all_lines(disk)}
    for call, line in rows.items():
        assert [(x.seq, x.record, x.settled) for x in find(disk, call)] == [(line.seq, line.record, line.settled)]
    assert list(find(disk, "nothing")) == []


def test_an_older_reader_skips_unknown_fields_and_a_newer_one_fills_defaults():
    import msgspec

    row = msgspec.msgpack.decode(encode(Record("c", status=200)))
    assert decode(Record, msgspec.msgpack.encode([*row, "a field of tomorrow"])).status == 200
    assert decode(Record, msgspec.msgpack.encode(row[:5])).how == ""


def test_a_damaged_frame_in_the_middle_is_isolated_and_the_rest_is_read():
    disk = Disk()
    recorder = Recorder(disk, "b1")
    for n in range(4):
        recorder.refused(f"c{n}")
    recorder.work()
    stored = disk.entries[s.name_of(1)].data
    item = [x for x in f.scan(bytes(stored)) if isinstance(x, f.Frame) and x.kind == f.WHOLE][1]
    stored[item.at + 40] ^= 1
    after = Recorder(disk.after_kill(), "b2")
    assert [(x.at, x.end) for x in after.plan.findings] == [(item.at, item.end)]
    assert [line.record.call for line in all_lines(disk)] == ["c0", "c2", "c3"]
    after.close()
    again = Recorder(disk, "b3")
    assert not again.plan.findings


def test_a_copy_of_a_folder_is_distinguished_from_a_call_seen_by_two_proxies(disk):
    copy = Disk()
    for name in list(disk.names())[:3]:
        copy.entries[name] = disk.entries[name]
    kept, copies = distinct([source("copy", copy), source("whole", disk)])
    assert [x.name for x in kept] == ["whole"] and copies == [("copy", "whole")]

    one, two = Disk(), Disk()
    first = Recorder(one, "b1")
    first.begin("x")
    first.work(1)
    first.work(1, only="write")
    second = Recorder(two, "b2")
    second.journal.chain, second.journal.proxy = "d" * 16, "p2"
    second.begin("x")
    second.work()
    second.end("x")
    second.work()
    second.close()
    Recorder(one.after_kill(), "b3").close()
    stops = StoppedCalls()
    rows = [line for d in (one, two) for line in all_lines(d)]
    for line in rows:
        stops.add_line(line)
    related_calls = list(stops.related_calls(rows))
    assert [(m.what, m.first[0], m.second[0]) for m in related_calls] == [("met twice", "p1", "p2")]
    if stops.doubts:
        found, odd = resolutions(stops.doubts, related_calls, set(), {"nobody@x"}, 1)
        assert [w.word for w in found.values()] == ["withdrawn"] and odd == ["nobody@x"]
        with pytest.raises(ValueError, match="both lists"):
            resolutions(stops.doubts, related_calls, {"x@x"}, {"x"}, 1)
