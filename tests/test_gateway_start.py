"""The program that the platform starts, as a real process."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.loopback import address_block
from standins.platform_documents import SETTINGS

from .gateway_system import free_port

GATEWAY_PROGRAM = Path(__file__).parent.parent / "deploy" / "jacinthpath.py"
TIMEOUT_S = 20.0


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "gateway.toml"
    ports = {name: free_port() for name in ("peer_port", "front_port", "ready_port")}
    path.write_text(
        SETTINGS.format(
            name="g", ip=f"{address_block()}.200", store="127.0.0.1:9", **ports
        )
    )
    return path


def ignored_signals(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("SigIgn:")[2].split()[0], 16)


def wait_for(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.002)


def test_sighup_during_start_does_not_end_the_process(settings, tmp_path):
    """Guards against a fault found by the soak: a SIGHUP after a change of the settings
    file ended gateways that were still starting."""
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, str(GATEWAY_PROGRAM)],
            env={**os.environ, "JACINTHPATH_SETTINGS": str(settings)},
            stdout=output,
        )
    try:
        sighup_mask = 1 << (signal.SIGHUP - 1)
        wait_for(lambda: ignored_signals(process.pid) & sighup_mask)
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: b"event=listening" in log.read_bytes())
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()
