"""Processes of `thorndale run` and their signals."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from thorndale.standins.platform import until
from thorndale.standins.ports import reserve_port

EXAMPLES = Path(__file__).parents[1] / "examples"


# Guards against an end by the signal itself where signals go on coming while the process ends.
def test_signals_in_series_do_not_end_a_running_proxy_by_the_signal(tmp_path):
    port = str(reserve_port())
    for path in EXAMPLES.glob("proxy*"):
        if path.is_file():
            (tmp_path / path.name).write_text(path.read_text().replace("127.0.0.1:5060", f"127.0.0.1:{port}"))
    command = [sys.executable, "-m", "thorndale", "run", str(tmp_path / "proxy.json5")]
    environ = dict(os.environ, PYTHONDONTWRITEBYTECODE="1")

    async def main():
        with open(tmp_path / "log", "w") as log:
            process = subprocess.Popen(command, env=environ, stderr=log, stdout=log)
        try:
            await until(lambda: '"started"' in (tmp_path / "log").read_text())
            process.send_signal(signal.SIGTERM)
            number = 0
            while process.poll() is None and number < 10_000:
                process.send_signal((signal.SIGHUP, signal.SIGTERM)[number % 2])
                number += 1
                await asyncio.sleep(0.001)
            return process.returncode, number
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()

    code, number = asyncio.run(main())
    assert code == 0 and number > 10
