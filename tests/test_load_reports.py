"""Load reports from entry processes, and the placement that is based on them."""

import asyncio
import json
from collections import Counter

import pytest

from bench.fleet import Fleet, ServiceSpec
from jacinthpath.codec import decode_frame, encode_frame, new_frame
from jacinthpath.configuration import Endpoint
from jacinthpath.coordinator_runner import _clock_s, _make_plan
from jacinthpath.coordinator_service import CoordinatorService
from jacinthpath.errors import FrameError, PeerUnavailable
from jacinthpath.hashing import key_hash, slice_of
from jacinthpath.hotkeys import REPORTED_KEYS, KeyLoad, LoadReport
from jacinthpath.load_reports import LoadReporter, read_report, write_report
from jacinthpath.metrics import Metrics
from jacinthpath.peers import PeerIdentity
from jacinthpath.placement import Placement
from jacinthpath.routing import RoutingState
from jacinthpath.slices import NO_OWNER, SliceTable

SLICES = 64


class RecordingPool:
    """Pool that records reports, or fails as if the peer did not listen."""

    def __init__(self):
        self.identity = PeerIdentity("host-0", "dc-0", "entry", "host-0/1")
        self.sent = []
        self.reachable = True

    async def request(self, address, frame, timeout_s):
        if not self.reachable:
            raise PeerUnavailable("Connection refused.", "Start the peer.")
        self.sent.append((address, decode_frame(encode_frame(frame)).body.report))


def reporter_for(service="preview"):
    routing = RoutingState(Metrics())
    owners = ("s0",) * SLICES
    routing.tables[service] = SliceTable(
        service, 1, 1, owners, {}, {}, coordinator="127.0.0.1:9"
    )
    pool = RecordingPool()
    return LoadReporter(pool, routing, 1), pool, routing


def round_trip(report):
    frame = new_frame()
    write_report(frame.body.init("report"), "preview", report)
    return decode_frame(encode_frame(frame)).body.report


async def test_report_has_the_requests_since_the_last_one():
    """Guards against requests that are lost or counted in two reports."""
    reporter, pool, _ = reporter_for()
    first, second = key_hash("a"), key_hash("b")
    for hash_value in (first, first, second):
        reporter.observe("preview", hash_value, SLICES)
    await reporter.report()
    reporter.observe("preview", second, SLICES)
    await reporter.report()
    await reporter.report()
    assert [address for address, _ in pool.sent] == ["127.0.0.1:9"] * 2
    reports = [read_report(content, SLICES) for _, content in pool.sent]
    assert [sum(report.slice_loads) for report in reports] == [3, 1]
    assert reports[0].slice_loads[slice_of(first, SLICES)] >= 2
    assert reports[0].hot_keys[0] == KeyLoad(first, 2, 0)
    assert [load.key_hash for load in reports[1].hot_keys] == [second]


async def test_undelivered_report_is_dropped():
    """Guards against reports that accumulate while the coordinator is unreachable."""
    reporter, pool, _ = reporter_for()
    pool.reachable = False
    reporter.observe("preview", key_hash("a"), SLICES)
    await reporter.report()
    pool.reachable = True
    reporter.observe("preview", key_hash("a"), SLICES)
    await reporter.report()
    (sent,) = pool.sent
    assert sum(sent[1].sliceCounts) == 1


async def test_counts_of_a_removed_service_are_dropped():
    """Guards against memory that grows with services that no longer exist."""
    reporter, pool, routing = reporter_for()
    reporter.observe("preview", key_hash("a"), SLICES)
    reporter.observe("removed", key_hash("a"), SLICES)
    await reporter.report()
    assert len(pool.sent) == 1
    assert reporter._loads.keys() == routing.tables.keys()


def test_report_out_of_bounds_is_refused():
    """Guards against a report that misattributes load or slows the coordinator down."""
    report = LoadReport("r", 1.0, [1] * SLICES, ())
    assert read_report(round_trip(report), SLICES) == LoadReport(
        "r", 1.0, [1] * SLICES, ()
    )
    with pytest.raises(FrameError):
        read_report(round_trip(report), SLICES + 1)
    keys = tuple(KeyLoad(key, 1, 0) for key in range(REPORTED_KEYS + 1))
    with pytest.raises(FrameError):
        read_report(round_trip(report._replace(hot_keys=keys)), SLICES)


class FakeCoordinator:
    """Coordinator of a service; with ``slice_count`` 0 it does not coordinate it."""

    def __init__(self, slice_count):
        self.slice_count = slice_count
        self.reports = []
        self.add_report = self.reports.append


@pytest.mark.parametrize("slice_count", [SLICES, 0])
async def test_report_counts_only_where_the_service_is_coordinated(slice_count):
    """Guards against loads from before the process became the coordinator."""
    coordinator = FakeCoordinator(slice_count)
    control = object.__new__(CoordinatorService)
    control._runners = {"preview": coordinator}
    frame = new_frame()
    report = LoadReport("r", 1.0, [1] * SLICES, ())
    write_report(frame.body.init("report"), "preview", report)
    await control._handle_report(None, frame)
    write_report(frame.body.init("report"), "unknown", report)
    await control._handle_report(None, frame)
    assert coordinator.reports == ([report] if slice_count else [])


def loaded_placement(hot, now):
    """Return a placement with a load report of one hot key."""
    placement = Placement(SLICES)
    slice_loads = [0] * SLICES
    slice_loads[slice_of(hot, SLICES)] = 600
    keys = (KeyLoad(hot, 500, 0),)
    placement.add_report(LoadReport("r", 1.0, slice_loads, keys), now)
    return placement


def endpoints(*names):
    return {name: Endpoint(name, "127.0.0.1:9") for name in names}


def test_plan_follows_reported_loads():
    """Guards against a planner that ignores the loads and balances slice counts."""
    hot = key_hash("hot")
    owners = tuple("ab"[index % 2] for index in range(SLICES))
    table = SliceTable("preview", 1, 1, owners, {}, {})
    placement = loaded_placement(hot, _clock_s())
    assert not _make_plan(table, endpoints("a", "b"), None).moves
    assert hot in _make_plan(table, endpoints("a", "b"), placement).splits


def test_urgent_plan_splits_no_key():
    """Guards against table changes that leave slices without an owner for longer."""
    hot = key_hash("hot")
    owners = ["a"] * SLICES
    unowned = (slice_of(hot, SLICES) + 1) % SLICES
    owners[unowned] = NO_OWNER
    table = SliceTable("preview", 1, 1, tuple(owners), {}, {})
    plan = _make_plan(table, endpoints("a", "b"), loaded_placement(hot, _clock_s()))
    assert plan.urgent
    assert not plan.splits
    assert [move.unit for move in plan.moves] == [("slice", unowned)]


REQUESTS_PER_ROUND = 100
# Too few to cause a move, whenever the next report is due.
INITIAL_REQUESTS = 20
REQUEST_INTERVAL_S = 0.01
MOVE_LIMIT_S = 9.0
# The hot key alone has 60% of the requests, so no placement can be below that.
TARGET_SHARE = 0.75


async def keys_of_one_server(fleet, count):
    """Return keys in different slices that the same server owns."""
    found = {}
    for number in range(20 * count):
        key = f"key-{number}"
        _, _, body = await fleet.request("preview", key=key)
        keys = found.setdefault(json.loads(body)["server"], {})
        keys[slice_of(key_hash(key), SLICES)] = key
        if len(keys) == count:
            return list(keys.values())
    raise AssertionError("no server owns keys in enough slices")


async def measure_shares(fleet, keys, statuses, requests=REQUESTS_PER_ROUND):
    """Send requests, 60% of them for the first key; return each server's share."""
    servers = Counter()
    hot, *others = keys

    async def send(number):
        await asyncio.sleep(number * REQUEST_INTERVAL_S)
        key = hot if number % 5 < 3 else others[number % len(others)]
        status, _, body = await fleet.request("preview", entry=number % 2, key=key)
        statuses[status] += 1
        if status == 200:
            servers[json.loads(body)["server"]] += 1

    await asyncio.gather(*(send(number) for number in range(requests)))
    return {name: count / servers.total() for name, count in servers.items()}


async def test_load_moves_off_the_busiest_server(tmp_path):
    """Guards against placement by slice count while one server has all the load."""
    spec = ServiceSpec("preview", True, 3, (f"slice_count = {SLICES}",))
    async with Fleet(tmp_path, [spec], hosts=2) as fleet:
        await fleet.wait_until_ready()
        keys = await keys_of_one_server(fleet, 8)
        statuses = Counter()
        initial_shares = await measure_shares(fleet, keys, statuses, INITIAL_REQUESTS)
        assert max(initial_shares.values()) == 1
        now = asyncio.get_running_loop().time
        deadline = now() + MOVE_LIMIT_S
        current_shares = initial_shares
        while max(current_shares.values()) > TARGET_SHARE and now() < deadline:
            current_shares = await measure_shares(fleet, keys, statuses)
        assert max(current_shares.values()) <= TARGET_SHARE
        assert statuses.keys() == {200}
