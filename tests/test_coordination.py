import ast
import inspect
import os
import random
from importlib import import_module

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from jacinthpath import coordination
from jacinthpath.configuration import Endpoint
from jacinthpath.coordination import Coordinator
from jacinthpath.coordination_events import (
    AuthorityGained,
    PublishTable,
    RouterLeaseRequested,
    SendRouterLease,
    ServersChanged,
    TableWritten,
    Tick,
    WriteTable,
)
from jacinthpath.grants import GrantHolder, TermTracker
from jacinthpath.holdings import Holdings
from jacinthpath.quorums import VouchQuorum
from jacinthpath.router_leases import RouterLeases
from jacinthpath.slices import NO_OWNER
from jacinthpath.vouches import VouchLedger, round_of
from tests.ownership_simulation import (
    DATA_CENTRES,
    HOT_KEYS,
    SLICES,
    Simulation,
    Violation,
    simple_planner,
)

LONG = os.environ.get("JACINTHPATH_LONG") == "1"
HOSTS = [f"{centre}{letter}" for centre in DATA_CENTRES for letter in "ab"]
SERVERS = ["s1", "s2", "s3", "s4"]


class OwnershipMachine(RuleBasedStateMachine):
    """Guards against a combination of faults that gives a slice two owners."""

    @initialize(seed=st.integers(0, 2**20), hosts=st.integers(1, 2))
    def start(self, seed, hosts):
        self.simulation = Simulation(seed, hosts_per_centre=hosts, servers=4)
        self.simulation.run_for(1.0)

    def pick(self, name):
        simulation = self.simulation
        return simulation.process(
            name if name in simulation.servers else name[:2] + "a"
        )

    @rule(duration=st.sampled_from([0.02, 0.1, 0.35, 0.7, 2.2]))
    def run(self, duration):
        self.simulation.run_for(duration)

    @rule(duration=st.sampled_from([0.02, 0.1, 0.35, 0.7, 2.2]))
    def run_again(self, duration):
        self.simulation.run_for(duration)

    @rule(name=st.sampled_from(HOSTS + SERVERS))
    def kill(self, name):
        self.pick(name).alive = False

    @rule(name=st.sampled_from(HOSTS + SERVERS))
    def restart(self, name):
        self.simulation.restart(self.pick(name).name)

    @rule(name=st.sampled_from(HOSTS + SERVERS))
    def freeze(self, name):
        self.pick(name).frozen = True

    @rule(name=st.sampled_from(HOSTS + SERVERS))
    def wake(self, name):
        self.pick(name).wake()

    @rule(how=st.sampled_from(["kill", "freeze", "pause_at_send", "release"]))
    def disturb_coordinator(self, how):
        host = self.simulation.coordinator()
        if host is None:
            return
        if how == "release":
            self.simulation.release(host)
            host.wanted = True
        elif how == "kill":
            host.alive = False
        elif how == "freeze":
            host.frozen = True
        else:
            host.pause_at_send = "any"

    @rule()
    def wake_all(self):
        for process in self.all_processes():
            process.wake()

    @rule(
        left=st.sets(st.sampled_from([*HOSTS, *SERVERS, "store"]), min_size=1),
        right=st.sets(st.sampled_from([*HOSTS, *SERVERS, "store"]), min_size=1),
    )
    def cut_some(self, left, right):
        self.simulation.cut(left - right, right - left)

    @rule(centres=st.sets(st.sampled_from(DATA_CENTRES), min_size=1, max_size=2))
    def cut_data_centres(self, centres):
        inside = self.simulation.names_in(*centres)
        rest = [n for n in self.simulation.names_in(*DATA_CENTRES) if n not in inside]
        self.simulation.cut(inside, [*rest, "store"])

    @rule()
    def cut_coordinator_from_the_store(self):
        host = self.simulation.coordinator()
        if host is not None:
            self.simulation.cut([host.name], ["store"])

    @rule()
    def heal(self):
        self.simulation.heal()

    @rule(down=st.booleans())
    def switch_store(self, down):
        self.simulation.store_down = down

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]), late=st.sampled_from([0.0, 0.1]))
    def disturb_messages(self, loss, late):
        self.simulation.loss = loss
        self.simulation.delayed = self.simulation.duplication = late

    @precondition(lambda self: self.simulation.newest_acknowledged)
    @rule(name=st.sampled_from(SERVERS))
    def drain_or_return(self, name):
        self.simulation.draining ^= {name}
        self.simulation.servers_changed()

    @rule(
        wanted=st.dictionaries(
            st.sampled_from(HOT_KEYS), st.sampled_from(SERVERS), max_size=2
        )
    )
    def change_hot_keys(self, wanted):
        self.simulation.wanted_hot_keys = wanted
        self.simulation.servers_changed()

    def all_processes(self):
        simulation = self.simulation
        return [
            *simulation.hosts.values(),
            *simulation.servers.values(),
            *simulation.zombies,
        ]

    def teardown(self):
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.heal()
        simulation.store_down = False
        simulation.loss = simulation.delayed = simulation.duplication = 0.0
        simulation.draining.clear()
        self.wake_all()
        for process in [*simulation.hosts.values(), *simulation.servers.values()]:
            if not process.alive:
                simulation.restart(process.name)
        simulation.servers_changed()
        simulation.run_for(10.0)
        assert simulation.is_served(), "a slice stays unserved after all faults ended"


OwnershipMachine.TestCase.settings = settings(
    derandomize=not LONG,
    deadline=None,
    max_examples=3000 if LONG else 25,
    stateful_step_count=60 if LONG else 30,
    suppress_health_check=list(HealthCheck),
)
TestOwnership = OwnershipMachine.TestCase


def settled_simulation(seed=1, **fields):
    simulation = Simulation(seed, **fields)
    simulation.run_for(2.0)
    assert simulation.is_served()
    return simulation


def frozen_server(simulation):
    """A server freezes with renewals in its socket buffer; its slices move."""
    simulation.servers["s1"].frozen = True
    simulation.run_for(2.0)
    simulation.servers["s1"].wake()
    simulation.run_for(1.0)


def isolated_coordinator(simulation):
    """A coordinator and one server are cut off from everything else.

    Runs with a successor that hardly waits for servers that do not answer, since
    that wait hides terms that outlive the authority in most runs.
    """
    host = simulation.coordinator()
    others = [name for name in simulation.hosts if name != host.name]
    rest = [name for name in simulation.servers if name != "s1"]
    simulation.cut([host.name, "s1"], [*others, *rest, "store"])
    simulation.run_for(3.0)
    simulation.heal()
    simulation.run_for(2.0)


def coordinator_paused_at_send(simulation):
    """The coordinator is paused between check and send until its lease has ended."""
    host = simulation.coordinator()
    others = [name for name in simulation.hosts if name != host.name]
    simulation.cut(others, ["s1"])
    host.pause_at_send = "s1"
    simulation.run_for(2.0)
    successor = simulation.coordinator()
    assert successor not in (None, host)
    assert "s1" not in simulation.owner_names()
    host.wake()
    simulation.run_for(2.0)


def server_drained_while_unreachable(simulation):
    """A server that holds slices is draining but unreachable."""
    simulation.cut(list(simulation.hosts), ["s1"])
    simulation.draining = {"s1"}
    simulation.servers_changed()
    simulation.run_for(2.0)


def interleaved_halves(simulation):
    """In an outage, the vouching hosts of all data centres are cut off together."""
    simulation.store_down = True
    simulation.run_for(2.0)
    host = simulation.coordinator()
    assert round_of(host.coordinator._epoch)
    vouching = {r.host for r in host.tracker._quorum._last_requests.values()}
    near = {host.name, "s1", *vouching}
    far = (simulation.hosts.keys() | simulation.servers.keys()) - near
    simulation.cut(near, far)
    simulation.run_for(6.0)
    simulation.heal()
    simulation.run_for(4.0)


def store_with_a_minority(simulation):
    """The store, the coordinator's data centre and one server are cut off."""
    simulation.run_for(8.0)
    host = simulation.coordinator()
    near = {*(n for n in simulation.hosts if n[:2] == host.data_centre), "s1", "store"}
    far = (simulation.hosts.keys() | simulation.servers.keys()) - near
    simulation.cut(near, far)
    simulation.run_for(6.0)
    simulation.heal()
    simulation.run_for(4.0)


def term_from_arrival(patch):
    receive = GrantHolder.receive

    def receive_naively(self, grant, now_ms):
        answer = receive(self, grant, now_ms)
        if answer.accepted and not grant.is_inquiry:
            self._term_end_ms = now_ms + grant.term_ms
        return answer

    patch.setattr(GrantHolder, "receive", receive_naively)


def no_cap_by_authority(patch):
    next_term = TermTracker.next_term
    patch.setattr(
        TermTracker,
        "next_term",
        lambda self, server, end: next_term(self, server, 1e12),
    )


def revocation_without_waiting(patch):
    patch.setattr(Holdings, "held_elsewhere", lambda self, server: set())


def no_inquiry(patch):
    patch.setattr(VouchQuorum, "count_committed", lambda self: len(DATA_CENTRES))


def lease_without_vouches(patch):
    """The lease alone confers authority, and inquiries in 2 of 4 centres suffice."""
    answer = VouchLedger.answer
    vouched_until = VouchQuorum.vouched_until
    count = VouchQuorum.count_committed

    def answer_naively(self, request, now, *, store_reachable):
        reply = answer(self, request, now, store_reachable=store_reachable)
        if round_of(request.epoch) == 0:
            for service in self._services.values():
                service.commitments.pop((request.holder, False), None)
        return reply

    def vouched_until_naively(self, needed, *, outage):
        return vouched_until(self, needed, outage=True) if outage else float("inf")

    def count_naively(self):
        return len(DATA_CENTRES) if count(self) >= self.blocking else 0

    patch.setattr(VouchLedger, "answer", answer_naively)
    patch.setattr(VouchQuorum, "vouched_until", vouched_until_naively)
    patch.setattr(VouchQuorum, "count_committed", count_naively)


@pytest.mark.parametrize(
    ("scenario", "naive", "hosts", "recovery_limit_s"),
    [
        (frozen_server, term_from_arrival, 1, 0.15),
        (coordinator_paused_at_send, term_from_arrival, 1, 0.15),
        (isolated_coordinator, no_cap_by_authority, 1, 0.02),
        (server_drained_while_unreachable, revocation_without_waiting, 1, 0.15),
        (interleaved_halves, no_inquiry, 2, 0.15),
        (store_with_a_minority, lease_without_vouches, 1, 0.15),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_naive_version_fails_where_the_product_holds(
    monkeypatch, scenario, naive, hosts, recovery_limit_s
):
    """Guards against a test that would also pass without the rule under test."""
    monkeypatch.setattr(coordination, "RECOVERY_LIMIT_S", recovery_limit_s)
    scenario(settled_simulation(18, hosts_per_centre=hosts))
    naive(monkeypatch)
    with pytest.raises(Violation):
        scenario(settled_simulation(18, hosts_per_centre=hosts))


def test_planned_move_has_no_gap_beyond_a_round_trip():
    simulation = settled_simulation()
    simulation.draining = {"s1"}
    simulation.servers_changed()
    assert simulation.longest_gap_during(1.0) < 0.02
    assert simulation.owner_names() == {"s2", "s3"}


def test_hot_key_moves_away_from_its_slice_and_back():
    """Guards against a key held by two servers, by one of them with its slice."""
    simulation = settled_simulation()
    key = HOT_KEYS[0]
    slice_owner = simulation.newest_acknowledged.owner_of(key)
    for target in ("s2", "s3"):
        simulation.wanted_hot_keys = {key: target}
        simulation.servers_changed()
        simulation.run_for(1.0)
        assert key in simulation.servers[target].owned_hot_keys()
    simulation.wanted_hot_keys = {}
    simulation.servers_changed()
    simulation.run_for(1.5)
    assert key in simulation.servers[slice_owner].owned_hot_keys()
    assert simulation.newest_acknowledged.hot_keys == {}
    assert not simulation.coordinator().coordinator._holdings.tracked_keys


def test_graceful_release_leaves_no_gap():
    """Guards against a successor that waits for the terms of the predecessor."""
    simulation = settled_simulation()
    for _ in range(3):
        host = simulation.coordinator()
        simulation.release(host)
        assert simulation.longest_gap_during(1.0) == 0.0
        assert simulation.coordinator() not in (None, host)


def test_release_before_the_first_grant():
    """Guards against a release that fails because no term was ever granted."""
    simulation = Simulation()
    while simulation.coordinator() is None:
        simulation.run_for(0.001)
    simulation.release(simulation.coordinator())
    simulation.run_for(2.0)
    assert simulation.is_served()


@pytest.mark.parametrize("repeat", range(2))
@pytest.mark.parametrize("seed", range(4))
def test_loss_of_server_coordinator_and_data_centre_is_over_within_a_second(
    seed, repeat
):
    """Guards against gaps that add up when the same failure occurs twice."""
    simulation = settled_simulation(seed)
    for _ in range(repeat + 1):
        simulation.servers["s3"].alive = False
        assert simulation.longest_gap_during(2.0) < 1.0
        simulation.restart("s3")
        simulation.run_for(2.0)
        host = simulation.coordinator()
        for name in simulation.names_in(host.data_centre):
            simulation.process(name).alive = False
        assert simulation.longest_gap_during(2.0) < 1.0
        for name in simulation.names_in(host.data_centre):
            simulation.restart(name)
        simulation.run_for(6.0)
        assert simulation.is_served()


def lose_server(simulation):
    simulation.servers["s1"].alive = False
    return 1.0


def lose_coordinator(simulation):
    simulation.coordinator().alive = False
    return 3.0


@pytest.mark.parametrize("lose", [lose_server, lose_coordinator])
@pytest.mark.parametrize("seed", range(3))
def test_loss_in_a_long_store_outage_is_repaired_without_the_store(lose, seed):
    simulation = settled_simulation(seed)
    simulation.store_down = True
    assert simulation.longest_gap_during(4.0) == 0.0
    limit_s = lose(simulation)
    assert simulation.longest_gap_during(6.0) < limit_s
    assert simulation.is_served()
    simulation.store_down = False
    assert simulation.longest_gap_during(4.0) == 0.0
    assert round_of(simulation.coordinator().coordinator._epoch) == 0


@pytest.mark.parametrize("seed", [0, 1, 19])
def test_loss_of_store_and_coordinator_at_one_time(seed):
    """Guards against candidates that exclude each other forever."""
    simulation = settled_simulation(seed)
    simulation.run_for(8.0)
    simulation.store_down = True
    lose_coordinator(simulation)
    assert simulation.longest_gap_during(6.0) < 3.0
    assert simulation.is_served()


def test_coordinator_alone_cut_off_from_the_store_keeps_its_role():
    simulation = settled_simulation()
    host = simulation.coordinator()
    simulation.cut([host.name], ["store"])
    assert simulation.longest_gap_during(4.0) == 0.0
    assert simulation.coordinator() is host
    assert round_of(host.coordinator._epoch) == 0


@pytest.mark.parametrize("first", ["centre", "store"])
def test_two_partitions_heal_in_either_order(first):
    simulation = settled_simulation()
    for _ in range(2):
        host = simulation.coordinator()
        inside = simulation.names_in(host.data_centre)
        outside = [n for n in simulation.names_in(*DATA_CENTRES) if n not in inside]
        simulation.cut(outside, ["store"])
        simulation.run_for(1.5)
        both = set(simulation.cuts)
        simulation.cut(inside, outside)
        simulation.run_for(4.0)
        simulation.cuts = both if first == "centre" else simulation.cuts - both
        simulation.run_for(4.0)
        simulation.heal()
        simulation.run_for(4.0)
        assert simulation.is_served()


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("lost", [*DATA_CENTRES, "coordinator"])
def test_acknowledged_assignment_survives_the_loss(lost, outage):
    """Guards against a table that was stored on the lost hosts only."""
    simulation = settled_simulation()
    simulation.store_down = outage
    simulation.run_for(2.0)
    simulation.draining = {"s2"}
    simulation.servers_changed()
    while "s2" in simulation.owner_names():
        simulation.run_for(0.005)
    owners = simulation.newest_acknowledged.owners
    names = [simulation.coordinator().name]
    if lost != "coordinator":
        names = simulation.names_in(lost)
    for name in names:
        simulation.process(name).alive = False
    simulation.run_for(6.0)
    assert simulation.is_served()
    kept = simulation.newest_acknowledged.owners
    for index in range(SLICES):
        if simulation.servers[owners[index]].alive:
            assert kept[index] == owners[index]


class Router:
    """Router whose lease runs by its own clock; its tables arrive late."""

    def __init__(self, name, offset):
        self.name = name
        self.offset = offset
        self.table = None
        self.lease_end_ms = 0

    def clock_ms(self, now):
        return int((now + self.offset) * 1000)

    def ask(self, now):
        version = self.table.version if self.table else 0
        return RouterLeaseRequested(self.name, self.clock_ms(now), version)

    def leased(self, lease):
        if lease.granted and self.table.version == lease.table_version:
            self.lease_end_ms = lease.stamp_ms + lease.term_ms

    def target(self, index, now):
        live = self.table and self.clock_ms(now) < self.lease_end_ms
        return self.table.owners[index] if live else NO_OWNER


DEADLINE_S = 0.3


def route_through_handoffs(seed):
    """Return the requests for each slice as (start, server), over two drains."""
    choice = random.Random(seed)
    coordinator = Coordinator(
        "preview",
        simple_planner,
        data_centre="d1",
        data_centres=DATA_CENTRES,
        slice_count=4,
        fencing="router",
        max_deadline_s=DEADLINE_S,
    )
    routers = [Router(f"r{index}", 50.0 * index) for index in range(3)]
    arrivals = []
    sent = {index: [] for index in range(4)}
    draining = {2.0: {"s1"}, 4.0: {"s2"}}
    handle(coordinator, ServersChanged(endpoints(set())), 0.0, routers)
    handle(coordinator, AuthorityGained(1, 99.0, 0.0, None, True), 0.0, routers)
    for step in range(700):
        now = step / 100
        events = [Tick(), *(router.ask(now) for router in routers if step % 10 == 0)]
        if now in draining:
            events.append(ServersChanged(endpoints(draining[now])))
        for event in events:
            for table in handle(coordinator, event, now, routers):
                for router in routers:
                    delay_s = choice.choice([0.01, 0.05, 0.8])
                    arrivals.append((now + delay_s, router, table))
        for time, router, table in arrivals:
            newer = router.table is None or table.version > router.table.version
            if time <= now and newer:
                router.table, router.lease_end_ms = table, 0
        for router in routers:
            for index in sent:
                server = router.target(index, now)
                if server != NO_OWNER:
                    sent[index].append((now, server))
    return sent


def endpoints(draining):
    return {
        name: Endpoint(name, name, state="draining" if name in draining else "active")
        for name in ("s1", "s2", "s3")
    }


def handle(coordinator, event, now, routers):
    """Carry out the effects of an event; return the published tables."""
    published = []
    for effect in coordinator.handle(event, now):
        if isinstance(effect, WriteTable):
            written = TableWritten(effect.table.epoch, effect.table.version)
            published += handle(coordinator, written, now, routers)
        elif isinstance(effect, PublishTable):
            published.append(effect.table)
        elif isinstance(effect, SendRouterLease):
            router = next(r for r in routers if r.name == effect.router)
            router.leased(effect.lease)
    return published


def overlapping(sent):
    """Whether requests of one slice may run on two servers at the same time."""
    for requests in sent.values():
        last = {}
        for start, server in requests:
            for other, time in last.items():
                if other != server and start < time + DEADLINE_S:
                    return True
            last[server] = start
    return False


@pytest.mark.parametrize("seed", range(3))
def test_routers_exclude_each_other_where_servers_do_not_check(monkeypatch, seed):
    """Guards against two servers that run requests for one key at the same time."""
    sent = route_through_handoffs(seed)
    assert not overlapping(sent)
    assert {server for requests in sent.values() for _, server in requests[-3:]} == {
        "s1",
        "s3",
    }
    monkeypatch.setattr(
        RouterLeases, "has_drained_before", lambda self, version, now: True
    )
    assert overlapping(route_through_handoffs(seed))


def test_decision_modules_read_no_clock_and_no_randomness():
    """Guards against effects of wall clock jumps: time is passed as an argument."""
    names = (
        "authority coordination coordination_events grants holdings leases quorums "
        "recovery router_leases vouches drafts grant_schedule planning"
    )
    for name in names.split():
        module = import_module(f"jacinthpath.{name}")
        tree = ast.parse(inspect.getsource(module))
        imported = set()
        for node in ast.walk(tree):
            if isinstance(node, ast.Import):
                imported |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                imported.add(node.module)
        assert not imported & {"time", "datetime", "random", "asyncio", "socket"}
