"""Decision logs: rate limit, non-blocking output, and explanation of a request."""

import asyncio
import os

import pytest
from click.testing import CliRunner

from jacinthpath.cli import main
from jacinthpath.gateway.events import MAX_PENDING_BYTES, EventKind, EventLog
from jacinthpath.gateway.explain import explain_from_logs, read_lines

from .gateway_system import GatewaySystem


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    chunks = []
    while True:
        try:
            chunks.append(os.read(reader, 65_536))
        except BlockingIOError:
            return b"".join(chunks).decode()


class FakeClock:
    now = 100.0

    def __call__(self):
        return self.now


def test_rate_limit_holds_at_ten_times_the_limit(pipe):
    """Guards against logs that grow with the load; dropped lines are counted."""
    reader, writer = pipe
    dropped = []
    clock = FakeClock()
    log = EventLog("h", writer, lambda *a, **labels: dropped.append(labels), clock)
    limit = EventKind.FAILURE.max_lines_per_s
    for number in range(limit * 10):
        log.failure("attempt", id=f"r{number}")
    assert read_all(reader).count("event=attempt") == limit
    assert len(dropped) == limit * 9
    clock.now += 10
    log.process("tick")
    assert "lines_left_out" in read_all(reader)


def test_successes_do_not_use_up_the_limit_of_failures(pipe):
    reader, writer = pipe
    log = EventLog("h", writer, clock=FakeClock())
    for number in range(1_000):
        log.success("attempt", id=f"s{number}")
    log.failure("attempt", id="wanted")
    assert "id=wanted" in read_all(reader)


def test_stalled_reader_does_not_block_and_memory_stays_bounded(pipe):
    """Guards against a write to a full pipe that blocks the event loop."""
    _, writer = pipe
    clock = FakeClock()
    log = EventLog("h", writer, clock=clock)
    for _ in range(2_000):
        clock.now += 1
        log.state_change("change", text="x" * 1_000)
    assert len(log._pending) < MAX_PENDING_BYTES + 2_000


def test_closed_reader_is_ignored():
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog("h", writer, clock=FakeClock())
    log.process("started")
    log.process("still running")
    os.close(writer)


LINES = """
  1.2 host-a at=10.0 host=a event=attempt id=r1 service=s server=x key=7 \
outcome=refused detail="status 503 not run"
at=9.500 host=l event=keys_moved service=s first=0 last=10 server=x fence=4
at=9.600 host=l event=keys_moved service=s first=11 last=20 server=y fence=5
at=9.700 host=b event=server_ejected server=x service=s
at=10.1 host=a event=request_answered_by_gateway id=r1 service=s key=7 status=503 \
reason="refused, max-servers"
not a log line
at=broken host=a event=attempt id=r1
"""


def test_explanation_contains_lines_and_state_changes_of_the_request_in_order():
    output = explain_from_logs("r1", read_lines(LINES.splitlines()))
    assert output[0] == "Request r1"
    assert "keys_moved" in output[1] and "last=10" in output[1]
    assert "status 503 not run" in output[2]
    assert len(output) == 5
    assert output[-1] == "Answered 503 by a: refused, max-servers (attempts: x refused)"


def test_command_reports_unknown_request_and_unreadable_input():
    runner = CliRunner()
    unknown = runner.invoke(main, ["explain", "r9"], input=LINES)
    assert unknown.exit_code == 3
    assert "The logs contain no line about request 'r9'" in unknown.output
    unreadable = runner.invoke(main, ["explain", "r1"], input="nothing\n")
    assert unreadable.exit_code == 2
    assert "The input contains no line of a decision log" in unreadable.output


@pytest.mark.parametrize(
    ("fault", "path", "outcome"),
    [
        ("shed", "/order/x", "refused"),
        ("lost", "/order/x", "broken"),
        ("stray", "/order/x", "broken"),
        ("silent", "/order/x", "timed-out"),
        ("", "/other/x", ""),
    ],
)
async def test_each_failed_request_is_logged(tmp_path, capfd, fault, path, outcome):
    """The log lines of a request id must give the inputs, their age and the outcome."""
    system = GatewaySystem(tmp_path)
    try:
        await system.start(keyed=0)
        await system.wait_until_ready()
        for server in system.servers.values():
            server.fault = fault
        await system.send(path, "wanted", method="POST")
    finally:
        await system.close()
    lines = [line for line in read_lines(capfd.readouterr().out.splitlines())]
    request_lines = [line for line in lines if line.fields.get("id") == "wanted"]
    last = request_lines[-1]
    assert last.event == "request_answered_by_gateway"
    assert last.fields["reason"]
    assert last.fields["configuration"] == "3"
    assert float(last.fields["belief_age_s"]) < 10
    attempts = [line for line in request_lines if line.event == "attempt"]
    assert {line.fields["outcome"] for line in attempts} == ({outcome} - {""})
    assert all("left_ms" in line.fields for line in attempts)


async def test_start_reload_and_stop_are_logged(tmp_path, capfd):
    system = GatewaySystem(tmp_path)
    try:
        await system.start(keyed=0)
        await system.wait_until_ready()
        await asyncio.sleep(0.6)
        system.gateways[0].reload()
    finally:
        await system.close()
    events = {line.event for line in read_lines(capfd.readouterr().out.splitlines())}
    assert events >= {
        "starting",
        "listening",
        "configuration_in_force",
        "server_seen",
        "leadership_gained",
        "ready",
        "settings_read",
        "stopped",
    }
