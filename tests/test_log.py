"""The log of the daemon: whole lines, also after a process that was killed within one."""

import json
from types import SimpleNamespace

import pytest

from thorndale.daemon.log import open_log
from thorndale.standins.logs import LogError, read_events

WHOLE = '{"event": "started"}\n'
PIECE = '{"proxy": "proxy1", "counts": {"given": 1'


def write_event(path):
    say, close = open_log(SimpleNamespace(file=str(path), level="info"), "proxy1")
    say("info", "started", pid=7)
    close()


# Guards against the first line of a process lost in the piece of a line that a killed one left.
@pytest.mark.parametrize("left, pieces", [("", 0), (WHOLE, 0), (WHOLE + PIECE, 1), (PIECE, 1)])
def test_the_first_line_of_a_process_is_whole_whatever_a_killed_one_left(tmp_path, left, pieces):
    path = tmp_path / "log"
    path.write_text(left)
    write_event(path)
    *before, last = path.read_text().splitlines()
    assert json.loads(last)["pid"] == 7 and "\n".join(before) == left.strip()
    assert read_events(path, kills=pieces)[-1]["event"] == "started"


def test_a_log_that_is_no_plain_file_is_written_without_being_read(tmp_path):
    write_event("/dev/null")
    path = tmp_path / "log"
    path.write_text(PIECE)
    path.chmod(0o200)
    write_event(path)
    path.chmod(0o600)
    assert path.read_text().endswith("\n")


def test_each_kill_explains_one_piece_of_a_line_and_no_more(tmp_path):
    path = tmp_path / "log"
    path.write_text(f"{PIECE}\n{WHOLE}")
    assert read_events(path, kills=1) == [{"event": "started"}]
    with pytest.raises(LogError, match="line 1: no JSON, after 0 kills"):
        read_events(path, kills=0)
