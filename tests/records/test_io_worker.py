"""A Store on a real folder: its I/O worker is killed or stopped, its folder locked or another proxy's; also exports
that are killed."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

import pytest
from records.proxy import Recorder

from thorndale.config.settings import Records
from thorndale.net.clock import now_us
from thorndale.records.files import Files
from thorndale.records.read import lines
from thorndale.records.record import Record
from thorndale.records.store import StoreError, open_store
from thorndale.standins.collector import Collector


def with_store(folder, act, **more):
    """Runs `act(store)` on an event loop; returns the logged events."""
    logged = []

    async def main():
        loop = asyncio.get_running_loop()
        store = open_store(
            Records(folder=str(folder), **more),
            "p1",
            loop,
            lambda level, event, **f: logged.append(event),
            now_us(),
            1_790_000_000_000_000,
        )
        store.attach(now_us, lambda: store.ledger.flush(now_us()))

        async def tick():  # stands in for the border's timer
            while True:
                store.ledger.flush(now_us())
                await asyncio.sleep(0.003)

        ticking = loop.create_task(tick())
        try:
            await act(store)
        finally:
            ticking.cancel()
            await store.close()

    asyncio.run(main())
    return logged


def refuse(store, call, promised):
    now = now_us()
    store.ledger.refused(
        now, Record(call, call, "t", "", now, 0, now, 0, status=503, how="rejected"), lambda _: promised.append(call)
    )
    store.ledger.flush(now)


async def until(test, seconds=30):
    end = time.monotonic() + seconds
    while not test() and time.monotonic() < end:
        await asyncio.sleep(0.005)
    assert test()


def names(folder):
    return [line.record.call for line in lines(Files(str(folder)))]


def test_a_killed_io_worker_is_replaced_and_nothing_is_lost(tmp_path):
    promised = []

    async def act(store):
        for n in range(60):
            refuse(store, f"c{n}", promised)
            if n % 20 == 10:
                await until(lambda: store.worker is not None)
                os.kill(store.worker.process.pid, signal.SIGKILL)
            await asyncio.sleep(0.003)
        for _ in range(3000):
            store.ledger.flush(now_us())
            await asyncio.sleep(0.01)
            if len(promised) == 60:
                break

    logged = with_store(tmp_path, act)
    assert logged.count("the process that writes records ended, another is begun") == 3
    assert sorted(promised) == sorted(names(tmp_path)) and len(promised) == 60


def test_a_stopped_io_worker_delays_neither_answers_nor_the_event_loop(tmp_path):
    promised, lags = [], []

    async def act(store):
        store.ledger.flush(now_us())
        await until(lambda: store.journal.segment is not None)  # the worker has started
        refuse(store, "first", promised)
        await until(lambda: promised)
        before = store.ledger.count["answered ahead"]
        os.kill(store.worker.process.pid, signal.SIGSTOP)
        refuse(store, "second", promised)
        at, was = time.monotonic(), time.monotonic()
        while time.monotonic() < at + 3:
            await asyncio.sleep(0.01)
            lags.append(time.monotonic() - was - 0.01)
            was = time.monotonic()
            store.ledger.flush(now_us())
            if len(promised) == 2 and "waited" not in lags:
                lags.append("waited")
                assert 0.09 < time.monotonic() - at < 2.5
        assert store.ledger.refusing(now_us()) and store.ledger.count["answered ahead"] == before + 1
        os.kill(store.worker.process.pid, signal.SIGCONT)
        await until(lambda: not store.ledger.refusing(now_us()))

    with_store(tmp_path, act, wait_ms=100, slow_ms=300)
    assert "waited" in lags and max(x for x in lags if x != "waited") < 2  # the worker was stopped for 3 s
    assert names(tmp_path) == ["first", "second"]


def test_frames_larger_than_the_socket_takes_at_once(tmp_path):
    promised = []

    async def act(store):
        for n in range(3000):
            now = now_us()
            store.ledger.refused(now, Record(f"c{n}", "x" * 900, "t", "", now, 0, now, 0), lambda _: promised.append(1))
        store.ledger.flush(now_us())
        await until(lambda: len(promised) == 3000)

    with_store(tmp_path, act, wait_ms=20_000)
    assert len(names(tmp_path)) == 3000


def test_a_folder_in_use_or_of_another_proxy_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr("thorndale.records.store.LOCK_WAIT_S", 0.05)
    folder_files = Files(str(tmp_path))
    folder_files.lock()

    async def nothing(store):
        pass

    with pytest.raises(StoreError, match="in use by process"):
        with_store(tmp_path, nothing)
    folder_files.close()
    with_store(tmp_path, nothing)
    other = tmp_path / "other"
    other.mkdir()
    recorder = Recorder(Files(str(other)), "b1")
    recorder.journal.proxy = "p2"
    recorder.refused("x")
    recorder.work()
    recorder.close()
    with pytest.raises(StoreError, match="holds the records of 'p2'"):
        with_store(other, nothing)
    with pytest.raises(StoreError, match="Not a directory|File exists"):
        file = tmp_path / "file"
        file.write_text("x")
        with_store(file, nothing)


def test_a_clock_that_steps_back_an_hour_between_two_boots(tmp_path):
    """Durations use the monotonic clock, the order uses sequence numbers, so a wall clock that steps back is harmless."""
    from thorndale.records.rate import ordered

    for boot, anchor in (("b1", 7_200_000_000), ("b2", 3_600_000_000)):
        recorder = Recorder(Files(str(tmp_path)), boot)
        recorder.journal.anchor_us = anchor
        for n in range(3):
            recorder.begin(f"{boot}{n}")
            recorder.now += 1_000_000
            recorder.end(f"{boot}{n}")
        recorder.work()
        recorder.close()
    rows = list(lines(Files(str(tmp_path))))
    for row in rows:
        row.record.anchor_us = 7_200_000_000 if row.record.call.startswith("b1") else 3_600_000_000
    assert [r.record.call for r in ordered([iter(rows)])] == ["b10", "b11", "b12", "b20", "b21", "b22"]
    assert all(r.record.answered_duration_us() >= 0 for r in rows)


def test_an_export_killed_at_any_moment_continues_where_it_stopped(tmp_path):
    folder = tmp_path / "p1"
    folder.mkdir()
    recorder = Recorder(Files(str(folder)), "b1")
    for n in range(300):
        recorder.refused(f"c{n}")
    recorder.work()
    recorder.close()
    collector = Collector(str(tmp_path / "far"), lambda n: "answer late", late_s=0.02)
    args = [
        sys.executable,
        "-m",
        "thorndale",
        "records",
        "export",
        str(folder),
        "--to",
        str(tmp_path / "out"),
        "--until",
        "2000-01-01",
        "--size",
        "5",
        "--url",
        collector.url,
    ]
    try:
        for wait in (0.75, 0.85, 0.95):
            process = subprocess.Popen(args, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            time.sleep(wait)
            process.kill()
            process.wait()
        done = subprocess.run(args, capture_output=True, text=True, check=False)
    finally:
        collector.close()
    assert done.returncode == 0, done.stderr
    manifest = json.loads((tmp_path / "out" / "manifest.json").read_text())
    far = os.listdir(tmp_path / "far")
    assert len(far) == 61 and manifest["totals"]["records"] == 300
    stored = sum((tmp_path / "far" / name).read_bytes().count(b"\n") - 1 for name in far if "batch" in name)
    assert stored == 300
