"""Decision logs: one line a decision, bounded, and told as a story."""

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


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_the_budget_holds_at_ten_times_the_load(pipe):
    """Logs must not grow with the load; what is left out is counted."""
    reader, writer = pipe
    counted = []
    clock = Clock()
    log = EventLog("h", writer, lambda *a, **labels: counted.append(labels), clock)
    budget = EventKind.FAILURE.lines_per_s
    for number in range(budget * 10):
        log.failure("attempt", id=f"r{number}")
    assert read_all(reader).count("event=attempt") == budget
    assert len(counted) == budget * 9
    clock.now += 10
    log.process("tick")
    assert "lines_left_out" in read_all(reader)


def test_failures_are_not_crowded_out_by_successes(pipe):
    reader, writer = pipe
    log = EventLog("h", writer, clock=Clock())
    for number in range(1_000):
        log.success("attempt", id=f"s{number}")
    log.failure("attempt", id="wanted")
    assert "id=wanted" in read_all(reader)


def test_a_stalled_reader_blocks_nothing_and_keeps_memory_bounded(pipe):
    """Writing to a full pipe would stop the event loop."""
    _, writer = pipe
    clock = Clock()
    log = EventLog("h", writer, clock=clock)
    for _ in range(2_000):
        clock.now += 1
        log.state_change("change", text="x" * 1_000)
    assert len(log._pending) < MAX_PENDING_BYTES + 2_000


def test_a_closed_reader_is_ignored():
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog("h", writer, clock=Clock())
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


def test_a_story_has_the_lines_and_beliefs_of_one_request_in_order():
    told = explain_from_logs("r1", read_lines(LINES.splitlines()))
    assert told[0] == "Request r1"
    assert "keys_moved" in told[1] and "last=10" in told[1]
    assert "status 503 not run" in told[2]
    assert len(told) == 5
    assert told[-1] == "Answered 503 by a: refused, max-servers (attempts: x refused)"


def test_the_command_names_what_is_wrong():
    runner = CliRunner()
    unknown = runner.invoke(main, ["explain", "r9"], input=LINES)
    assert unknown.exit_code == 3
    assert "No line is about request 'r9'" in unknown.output
    unreadable = runner.invoke(main, ["explain", "r1"], input="nothing\n")
    assert unreadable.exit_code == 2
    assert "No line of a decision log" in unreadable.output


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
async def test_each_failed_request_leaves_its_line(
    tmp_path, capfd, fault, path, outcome
):
    """An id must lead to the cause: inputs, their age, and the outcome."""
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
    own = [line for line in lines if line.fields.get("id") == "wanted"]
    answered = own[-1]
    assert answered.event == "request_answered_by_gateway"
    assert answered.fields["reason"]
    assert answered.fields["configuration"] == "3"
    assert float(answered.fields["belief_age_s"]) < 10
    attempts = [line for line in own if line.event == "attempt"]
    assert {line.fields["outcome"] for line in attempts} == ({outcome} - {""})
    assert all("left_ms" in line.fields for line in attempts)


async def test_start_stop_and_lost_dependencies_are_logged(tmp_path, capfd):
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
