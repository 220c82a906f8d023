"""The daemon's log: complete lines, also after a process was killed in the middle of one."""

import json
from types import SimpleNamespace

import pytest

from thorndale.daemon.log import open_log
from thorndale.standins.logs import LogError, read_events

COMPLETE = '{"event": "started"}\n'
INCOMPLETE = '{"proxy": "proxy1", "counts": {"given": 1'


def write_event(path):
    log_event, close = open_log(SimpleNamespace(file=str(path), level="info"), "proxy1")
    log_event("info", "started", pid=7)
    close()


# A killed process can leave an incomplete line; the next process must not append its first line to it, which would lose
# both.
@pytest.mark.parametrize(
    "previous, incomplete_lines", [("", 0), (COMPLETE, 0), (COMPLETE + INCOMPLETE, 1), (INCOMPLETE, 1)]
)
def test_the_first_line_of_a_process_is_complete_after_a_killed_one(tmp_path, previous, incomplete_lines):
    path = tmp_path / "log"
    path.write_text(previous)
    write_event(path)
    *before, last = path.read_text().splitlines()
    assert json.loads(last)["pid"] == 7 and "\n".join(before) == previous.strip()
    assert read_events(path, kills=incomplete_lines)[-1]["event"] == "started"


def test_a_log_that_cannot_be_read_is_still_written(tmp_path):
    write_event("/dev/null")
    path = tmp_path / "log"
    path.write_text(INCOMPLETE)
    path.chmod(0o200)
    write_event(path)
    path.chmod(0o600)
    assert path.read_text().endswith("\n")


def test_each_kill_accounts_for_one_incomplete_line_and_no_more(tmp_path):
    path = tmp_path / "log"
    path.write_text(f"{INCOMPLETE}\n{COMPLETE}")
    assert read_events(path, kills=1) == [{"event": "started"}]
    with pytest.raises(LogError, match="line 1: no JSON, after 0 kills"):
        read_events(path, kills=0)
