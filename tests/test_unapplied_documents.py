"""Documents that raise while they are applied: none costs another one."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from jacinthpath.codec import new_frame
from jacinthpath.errors import JacinthpathError
from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.crash_ledger import BlockedRequest, CrashLedger
from jacinthpath.gateway.directory import ServerDelta
from jacinthpath.gateway.host_reports import HostReporter
from jacinthpath.gateway.link_budget import LinkBudget
from jacinthpath.gateway.peer_messages import apply_documents, write_documents
from jacinthpath.gateway.peering import Peering
from jacinthpath.gateway.store import Item
from jacinthpath.platform import decode_backend, decode_route_table
from standins.platform_documents import configuration

from .gateway_simulation import NullEventLog
from .gateway_system import ROUTES, GatewaySystem

BAD = "s-bad"
SERVERS = ["s-a", BAD, "s-z"]


def entry(state="ready"):
    document = {
        "address": "10.0.0.1:80",
        "born": 5,
        "info": {"service": "s", "version": "v1", "zone": "a", "slots": 3},
        "status": {"state": state, "sequence": 1, "warmup_left": "0ms"},
    }
    return json.dumps(document).encode()


def items(state="ready", revision=1, servers=SERVERS):
    return tuple(Item(f"servers/{name}", entry(state), revision) for name in servers)


class Failing:
    """Replaces a method that raises for one server, or for all.

    :param owner: object that has the method.
    """

    def __init__(self, owner, name, server=BAD):
        self.original, self.server = getattr(owner, name), server
        setattr(owner, name, self)

    def __call__(self, *args, **fields):
        text = repr(args) + repr(fields)
        if self.server in text:
            raise KeyError(f"an error of our own: {text}")
        return self.original(*args, **fields)


def fail_in_log(view, server=BAD):
    Failing(view._events, "log_state_change", server)


def fail_in_directory(view, server=BAD):
    Failing(view.directory, "put", server)


def fail_in_decoder(view, server=BAD):
    Failing(view._entries, "_decode", server)


PLACES = [fail_in_log, fail_in_directory, fail_in_decoder]


class Host:
    """A view with the errors that it has recorded."""

    def __init__(self):
        self.errors = []
        self.view = ClusterView(
            NullEventLog(),
            decode_route_table,
            decode_backend,
            lambda place, error: self.errors.append((place, error)),
        )

    def state(self):
        """Return which servers drain, by id."""
        servers = self.view.directory.all().values()
        return {backend.server: backend.draining for backend in servers}


@pytest.fixture
def host():
    return Host()


@pytest.mark.parametrize("fail", PLACES)
def test_entry_that_cannot_be_applied_costs_no_other_of_a_list(host, fail):
    """Issue 43: one entry whose log line raised cost all others of each list."""
    host.view.replace_servers(items(), 1)
    fail(host.view)
    host.view.replace_servers(items("draining", 2), 2)
    state = host.state()
    assert state["s-a"] and state["s-z"]
    assert BAD in state
    assert len(host.errors) == 1
    assert host.view.server_failures() == 1


@pytest.mark.parametrize("fail", PLACES)
def test_new_entry_that_cannot_be_applied_costs_no_other_of_a_list(host, fail):
    fail(host.view)
    host.view.replace_servers(items(), 1)
    assert {"s-a", "s-z"} <= {*host.state()}
    assert host.view.servers_known
    assert len(host.errors) == 1


@pytest.mark.parametrize("fail", PLACES)
def test_change_that_cannot_be_applied_is_counted(host, fail):
    host.view.replace_servers(items(), 1)
    fail(host.view)
    host.view.apply_server(BAD, entry("draining"), 2)
    host.view.apply_server("s-a", entry("draining"), 3)
    assert host.state()["s-a"]
    assert host.view.server_failures() == 1


@pytest.mark.parametrize("fail", PLACES)
def test_list_of_which_nothing_can_be_applied_is_refused(host, fail):
    """A host whose list was empty because each entry failed must not trust it."""
    host.view.replace_servers(items(), 1)
    fail(host.view, "s-")
    with pytest.raises(JacinthpathError, match="None of 3"):
        host.view.replace_servers(items("draining", 2), 2)
    assert {*host.state()} == {*SERVERS}


@pytest.mark.parametrize("fail", [fail_in_log, fail_in_directory])
def test_entry_of_a_peer_that_cannot_be_applied_costs_no_other(host, fail):
    host.view.replace_servers(items(), 1)
    other = Host()
    other.view.replace_servers(items("draining", 2), 2)
    backends = [*other.view.directory.all().values()]
    fail(host.view)
    host.view.apply_peer_servers(backends, 2)
    assert host.state()["s-a"] and host.state()["s-z"]
    assert len(host.errors) == 1


@pytest.mark.parametrize("fail", [fail_in_log, fail_in_directory])
def test_change_of_a_peer_that_cannot_be_applied_costs_no_other(host, fail):
    host.view.replace_servers(items(), 1)
    other = Host()
    other.view.replace_servers(items("draining", 2, SERVERS[1:]), 2)
    delta = ServerDelta(tuple(other.view.directory.all().values()), ("s-a",))
    fail(host.view)
    host.view.apply_peer_server_delta(delta, host.view.directory.digest(), 2)
    assert "s-a" not in host.state()
    assert host.state()["s-z"]
    assert len(host.errors) == 1


def fetch(follower, leader):
    """Return the documents of a host for another one, and what applies them there."""
    wanted = new_frame().body.init("documentsWanted")
    wanted.serversDigest = follower.view.directory.digest()
    wanted.takesChanges = True
    content = new_frame().body.init("documents")
    write_documents(content, wanted, leader.view)
    return content, lambda: apply_documents(content, follower.view, "peer")


@pytest.fixture
def leader():
    leader = Host()
    leader.view.replace_servers(items(), 1)
    leader.view.record_servers_contact()
    return leader


def test_list_that_was_not_applied_overwrites_no_newer_one(host, leader):
    """It claimed the newest revision, so that a follower lost a live server and got a
    removed one back."""
    leader.view.replace_servers(items(revision=200), 200)
    newer = items(revision=250, servers=["s-a", BAD, "s-new"])
    host.view.replace_servers(newer, 250)
    Failing(leader.view.directory, "put", "s-")
    with pytest.raises(JacinthpathError):
        leader.view.replace_servers(items(revision=300), 300)
    leader.view.record_servers_contact(boottime_s() - 1.0)
    host.view.record_servers_contact()
    _, apply = fetch(host, leader)
    apply()
    assert sorted(host.view.directory.all()) == ["s-a", BAD, "s-new"]


def test_servers_of_a_peer_that_were_not_applied_are_reported(host, leader):
    """A host that reports them as applied is taken to know of all drains."""
    _, apply = fetch(host, leader)
    host.view.apply_peer_servers = Failing(host.view, "apply_peer_servers", "s-")
    assert apply() == {"servers"}
    assert host.view.servers_age_s() > 1e9
    assert len(host.errors) == 1


def test_change_for_another_list_is_reported(host, leader):
    """The change was left out, and its age was recorded for the old list."""
    fetch(host, leader)[1]()
    leader.view.directory.digest()
    leader.view.apply_server("s-a", entry("draining"), 2)
    content, apply = fetch(host, leader)
    assert content.serversBase
    host.view.servers_contact_s = contact_s = float("-inf")
    host.view.apply_server("s-z", entry("draining"), 3)
    failed = apply()
    assert host.view.servers_contact_s == contact_s
    assert failed == {"servers"}


class Loops:
    """Keeps the places of errors."""

    def __init__(self):
        self.places = []

    def record_error(self, place, _error):
        self.places.append(place)


def test_servers_that_cannot_be_written_keep_back_no_configuration(leader):
    """Issue 43: one entry that could not be encoded kept all documents of the leader
    from all followers."""
    view = leader.view
    view.apply_configuration(configuration(3, ROUTES), 1, "store")
    odd = view.directory.find("s-a")._replace(slots=-1, revision=2)
    view.directory.put(odd, boottime_s())
    peering = Peering.__new__(Peering)
    peering._view, peering._events, peering._loops = view, NullEventLog(), Loops()
    peering._ledger = CrashLedger()
    peering._link_budget = LinkBudget(1e9)
    peering._permits = SimpleNamespace(is_confirmed=lambda: True)
    peering.authority = lambda: None
    wanted = new_frame().body.init("documentsWanted")
    content = peering._make_documents_frame(wanted).body.documents
    assert content.configuration
    assert not len(content.servers)
    assert content.ageMs > 1_000_000
    assert peering._loops.places == ["write-documents"]


async def test_blocked_requests_that_cannot_be_applied_end_no_following(tmp_path):
    """A host whose loop raised after each response of its leader never followed it."""
    system = await GatewaySystem(tmp_path).start(gateways=2)
    try:
        await system.wait_until_ready()
        follower = next(g for g in system.gateways if g._election.authority is None)
        leader = next(g for g in system.gateways if g is not follower)
        ledger = leader._peering._ledger
        ledger.merge_blocked(BlockedRequest(7, boottime_s() + 30.0, 1))

        def fail(*_args):
            raise KeyError("an error of our own")

        follower._peering._merge_blocked = fail
        await asyncio.sleep(2.5)
        assert follower._peering.is_following()
        assert follower.unready_reason() == ""
    finally:
        await system.close()


async def test_report_with_an_odd_limit_keeps_back_no_drain(leader):
    """The leader refused all that a host reported as long as one limit was odd."""
    frame = new_frame()
    content = frame.body.init("hostReport")
    row = content.init("leaving", 1)[0]
    row.server, row.bornMs = "s-a", 5
    entry = content.init("limits", 1)[0]
    entry.server, entry.named, entry.perSecond = "s-a", True, float("inf")
    content.init("crashes", 1)[0].server = "s-z"
    crashes = []
    reporter = HostReporter.__new__(HostReporter)
    reporter._view, reporter._load_aggregator = leader.view, NullEventLog()
    reporter._crash_detector = SimpleNamespace(record=crashes.append)
    with pytest.raises(JacinthpathError, match="limit"):
        await reporter.handle_report(None, frame)
    assert leader.state()["s-a"]
    assert [crash.server for crash in crashes] == ["s-z"]
