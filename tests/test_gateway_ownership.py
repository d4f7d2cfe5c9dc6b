"""Each key has at most one owner, under all faults that the platform may have."""

import asyncio

import pytest

from jacinthpath.gateway import assigner, command_runner, move_planning, ownership
from jacinthpath.gateway.assignment import OwnedRange
from jacinthpath.gateway.authority import GRANT_INTERVAL_S, LeaderAuthority
from jacinthpath.gateway.fence_sweep import FenceSweep
from jacinthpath.gateway.model import KEY_COUNT
from jacinthpath.gateway.range_state import RangeState
from jacinthpath.gateway.server_commands import CommandResponse, CommandResult
from jacinthpath.gateway.store_eras import StoreEras

from .gateway_simulation import (
    OTHER_SERVICE,
    SERVICE,
    TTL_S,
    LeaderCommands,
    Simulation,
)

SEEDS = range(12)


@pytest.fixture(autouse=True)
def initial_owners_delay(monkeypatch):
    """Set the delay explicitly: runs depend on it, and other tests change it."""
    monkeypatch.setattr(move_planning, "INITIAL_OWNERS_DELAY_S", 0.1)


async def run_for(simulation, duration_s=5.0):
    for _ in range(int(duration_s / 0.1)):
        await simulation.advance()


async def run_with_faults(simulation, duration_s=40.0):
    """Advance the simulation with a random fault or repair about once a second."""
    random = simulation.random
    for _ in range(int(duration_s / 0.1)):
        await simulation.advance()
        if random.random() > 0.12:
            continue
        leader = random.choice(simulation.leaders)
        server = random.choice([*simulation.servers])
        action = random.choice(["cut", "cut", "heal", "server", "path", "listed"])
        if action == "cut":
            leader.cut_off = True
        elif action == "heal":
            leader.cut_off = False
        elif action == "server":
            if simulation.servers[server].up:
                simulation.stop_server(server)
            else:
                simulation.start_server(server)
        elif action == "path":
            simulation.blocked_paths ^= {(leader.name, server)}
        else:
            simulation.listed_servers ^= {server}


@pytest.mark.parametrize("seed", SEEDS)
async def test_one_owner_under_random_faults(seed, monkeypatch):
    """Two servers never own a key at once, and each new owner has a higher fence."""
    simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
    await run_for(simulation)
    await run_with_faults(simulation)
    assert simulation.violations == []


# With these seeds, a previous leader granted keys with its old fence to the new
# incarnation of a server that had released them to the successor before its restart.
@pytest.mark.parametrize("seed", [1040, 1042, 1051, 1072, 1097, 1179])
async def test_previous_leader_grants_nothing_to_a_restarted_server(seed, monkeypatch):
    simulation = Simulation(seed, late_command_rate=0.15, lost_write_rate=0.15)
    await run_for(simulation)
    await run_with_faults(simulation, 60.0)
    assert simulation.violations == []


@pytest.mark.parametrize(("paused_s", "due"), [(1.5, True), (5.0, False)])
def test_leader_that_was_paused_does_not_renew_lapsed_grants(paused_s, due):
    """Guards against two owners: a successor had moved the keys of a paused leader, and
    the server restarted, so that it accepted the old grant again (soak seed 12011)."""
    state = RangeState(OwnedRange(0, 9, "s1", "10.0.0.1:80", 1, 1), 0.0)
    state.record_grant(10.0, 2.5)
    authority = LeaderAuthority(TTL_S, 10.0)
    assert command_runner._is_due(state, authority, 10.0 + paused_s) is due


@pytest.mark.parametrize("seed", SEEDS)
async def test_one_owner_while_leaders_resign(seed, monkeypatch):
    """A leader that resigns renews its grants until it sees a successor."""
    simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
    await run_for(simulation)
    for _ in range(8):
        await run_with_faults(simulation, 4.0)
        simulation.resign(simulation.random.choice(simulation.leaders))
        await run_with_faults(simulation, 1.0)
    assert simulation.violations == []


@pytest.mark.parametrize("seed", SEEDS)
async def test_all_keys_are_served_after_the_faults(seed, monkeypatch):
    """No fault leaves a key without an owner once everything works again."""
    simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
    await run_for(simulation)
    await run_with_faults(simulation, 20.0)
    simulation.late_command_rate = simulation.lost_write_rate = 0.0
    simulation.blocked_paths.clear()
    for leader in simulation.leaders:
        leader.cut_off = False
    for server, process in [*simulation.servers.items()]:
        if not process.up:
            simulation.start_server(server)
        simulation.listed_servers.add(server)
    await run_for(simulation, 30.0)
    assert [
        key for key in simulation.sampled_keys if simulation.holder(key) is None
    ] == []
    assert simulation.violations == []


async def test_keys_of_a_crashed_server_move_within_seconds(monkeypatch):
    """The keys of a lost server are unserved for one hold time only."""
    simulation = Simulation(1)
    await run_for(simulation)
    simulation.stop_server("s1")
    await run_for(simulation, 4.0)
    assert all(simulation.holder(key) for key in simulation.sampled_keys)


@pytest.mark.parametrize("silent", [False, True])
async def test_leader_changes_do_not_extend_the_wait_for_lost_keys(silent, monkeypatch):
    """Each new leader waited again for the grants of all previous leaders, so requests
    for the keys of a lost server were refused for the rest of the day (incident
    inc-a9a3).
    """
    simulation = Simulation(4)
    await run_for(simulation)
    simulation.stop_server("s1")
    await run_for(simulation, 1.5)
    for _ in range(3):
        leader = next(one for one in simulation.leaders if one.election.authority)
        leader.silent = silent
        leader.cut_off = True
        await run_for(simulation, 2.0)
        leader.cut_off = False
    limit_s = 7.0 if not silent else 17.0
    await run_for(simulation, limit_s - 6.0)
    assert all(simulation.holder(key) for key in simulation.sampled_keys)
    assert simulation.violations == []


async def test_releases_to_a_lost_holder_are_rate_limited(monkeypatch):
    """A lost server with many ranges was sent a release for each of them every tick."""
    simulation = Simulation(1)
    await run_for(simulation)
    simulation.stop_server("s1")
    sent = []
    original_release = LeaderCommands.release

    async def release(self, server, *rest):
        sent.append(server)
        return await original_release(self, server, *rest)

    monkeypatch.setattr(LeaderCommands, "release", release)
    await run_for(simulation, 2.0)
    assert 0 < sent.count("s1") <= 2.0 / command_runner.RELEASE_RETRY_S + 1


async def test_leader_change_moves_no_key(monkeypatch):
    """The successor grants the same ranges to the same servers."""
    simulation = Simulation(2)
    await run_for(simulation)
    before = {key: simulation.holder(key).server for key in simulation.sampled_keys}
    leader = next(one for one in simulation.leaders if one.election.authority)
    leader.cut_off = True
    for _ in range(60):
        await simulation.advance()
        assert all(simulation.holder(key) for key in simulation.sampled_keys)
    assert {
        key: simulation.holder(key).server for key in simulation.sampled_keys
    } == before
    assert (
        leader.election.authority is None
        or not leader.cut_off
        or simulation.violations == []
    )


async def test_keys_stay_served_in_a_store_outage(monkeypatch):
    """Every key keeps its owner while the store is down for nine seconds."""
    simulation = Simulation(3)
    await run_for(simulation)
    for leader in simulation.leaders:
        leader.cut_off = True
    for _ in range(90):
        await simulation.advance()
        assert all(simulation.holder(key) for key in simulation.sampled_keys)


async def test_keys_stay_served_when_leaders_resign_in_an_outage(monkeypatch):
    """Requests were refused from the end of the hold time until the store was back."""
    simulation = Simulation(5)
    await run_for(simulation)
    for leader in simulation.leaders:
        leader.cut_off = True
        simulation.resign(leader)
    for _ in range(85):
        await simulation.advance()
        assert all(simulation.holder(key) for key in simulation.sampled_keys)
    assert simulation.violations == []


async def run_with_restores(simulation, with_long_rounds, rounds=6):
    """Advance with random faults, and restore the store after each round.

    Before it, none, one or all of the leaders' processes restart.

    :param with_long_rounds: whether all earlier grants expire in some rounds.
    """
    random = simulation.random
    for _ in range(rounds):
        longest_s = random.choice([9.0, 30.0]) if with_long_rounds else 9.0
        await run_with_faults(simulation, random.uniform(1.0, longest_s))
        for leader in random.sample(simulation.leaders, random.choice([0, 1, 3])):
            simulation.restart_leader(leader)
        simulation.restore_store(random.randint(1, 40))


@pytest.mark.parametrize("with_long_rounds", [False, True])
@pytest.mark.parametrize("seed", range(24))
async def test_one_owner_when_the_store_comes_back_from_an_older_copy(
    seed, with_long_rounds
):
    """A restored store names earlier owners, forgets the leader and gives revisions out
    again; two servers must not own a key, and no fence is given out twice."""
    simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
    await run_for(simulation)
    await run_with_restores(simulation, with_long_rounds)
    assert simulation.violations == []


@pytest.mark.parametrize("age_steps", [1, 10, 40])
async def test_keys_stay_served_when_the_store_is_restored(age_steps):
    """Guards against keys without an owner while a fleet ignores the restored store."""
    simulation = Simulation(7)
    await run_for(simulation)
    for _ in range(3):
        simulation.restore_store(age_steps)
        for _ in range(60):
            await simulation.advance()
            assert all(simulation.holder(key) for key in simulation.sampled_keys)
    assert simulation.violations == []


async def find_violations_with_restores(with_long_rounds):
    """Return the violations of the first seed that has any."""
    for seed in range(60):
        simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
        await run_for(simulation)
        await run_with_restores(simulation, with_long_rounds)
        if simulation.violations:
            return simulation.violations
    return []


async def test_check_fails_if_a_restored_assignment_is_adopted_as_it_is(monkeypatch):
    """Guards against a simulation that cannot fail: without the sweep, a restored
    assignment gives a key to two servers."""
    monkeypatch.setattr(FenceSweep, "is_complete", lambda *_args: True)
    assert await find_violations_with_restores(with_long_rounds=False)


async def test_check_fails_if_fences_are_given_out_twice(monkeypatch):
    """Guards against a simulation that cannot fail: if fences do not rise with the era,
    the highest ones are lost in a restore and given out again.

    Without long rounds no leader gives out any, since it waits for lost grants.
    """
    monkeypatch.setattr(assigner, "minimum_fence", lambda _era: 0)
    assert await find_violations_with_restores(with_long_rounds=True)


async def test_check_fails_without_waiting_for_grants_to_expire(monkeypatch):
    """Guards against a simulation that cannot fail: without the wait for grants to
    expire, it must report two owners of a key."""
    monkeypatch.setattr(ownership.RangeState, "may_reassign", lambda *_args: True)
    violations = []
    for seed in SEEDS:
        simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
        await run_for(simulation)
        await run_with_faults(simulation)
        violations += simulation.violations
    assert violations


async def test_check_fails_without_waiting_for_previous_leaders(monkeypatch):
    """Guards against a simulation that cannot fail: if moves ignore the grants of
    previous leaders, it must report two owners of a key."""
    monkeypatch.setattr(
        assigner, "last_expiry_if_running_s", lambda now_s, *_rest: now_s
    )
    monkeypatch.setattr(ownership, "last_expiry_if_stopped_s", lambda now_s: now_s)
    violations = []
    for seed in range(30):
        simulation = Simulation(seed, late_command_rate=0.1, lost_write_rate=0.1)
        await run_for(simulation)
        await run_with_faults(simulation)
        violations += simulation.violations
    assert violations


async def lose_first_assignment(seed, service, restarted):
    """Restore the store from a copy that is older than the first owners of a service.

    Another server joins meanwhile. Before the restore, so many leaders restart.
    """
    simulation = Simulation(seed, late_command_rate=0.1)
    if service == SERVICE:
        simulation.servers.clear()
    await run_for(simulation)
    steps = simulation.steps
    simulation.keyed_services = [*dict.fromkeys([SERVICE, service])]
    for index in range(4):
        simulation.start_server(f"t{index}", service)
    await run_for(simulation, simulation.random.uniform(1.0, 2.0))
    simulation.start_server("t4", service)
    await run_for(simulation, simulation.random.uniform(0.1, 1.0))
    for leader in simulation.leaders:
        leader.cut_off = True
    await run_for(simulation, 2.2)
    for leader in simulation.random.sample(simulation.leaders, restarted):
        simulation.restart_leader(leader)
    for leader in simulation.leaders:
        leader.cut_off = False
    simulation.restore_store(simulation.steps - steps + 1)
    return simulation


@pytest.mark.parametrize("restarted", [0, 1, 3])
@pytest.mark.parametrize("service", [SERVICE, OTHER_SERVICE])
@pytest.mark.parametrize("seed", range(4))
async def test_lost_first_assignment_gives_no_key_two_owners(seed, service, restarted):
    """Guards against a leader that takes keys for free because the restored store has
    no assignment of them (review/12)."""
    simulation = await lose_first_assignment(seed, service, restarted)
    await run_for(simulation, 18.0)
    simulation.late_command_rate = 0.0
    await run_for(simulation, 8.0)
    assert simulation.violations == []
    assert all(simulation.holder(key, service) for key in simulation.sampled_keys)


async def test_free_keys_get_owners_at_once_after_a_sweep(monkeypatch):
    """Guards against keys without owners while servers are watched that have been the
    same for long."""
    monkeypatch.setattr(move_planning, "INITIAL_OWNERS_DELAY_S", 1.5)
    simulation = await lose_first_assignment(0, SERVICE, restarted=3)
    simulation.late_command_rate = 0.0
    states = [leader.assigner for leader in simulation.leaders]
    while not any(s._leader_state and s._leader_state.swept_services for s in states):
        await run_for(simulation, 0.1)
    await run_for(simulation, 0.5)
    assert all(simulation.holder(key) for key in simulation.sampled_keys)


async def find_violations_of_lost_assignments(service):
    for seed in range(8):
        simulation = await lose_first_assignment(seed, service, restarted=3)
        await run_for(simulation, 8.0)
        if simulation.violations:
            return simulation.violations
    return []


async def test_check_fails_if_a_missing_assignment_is_taken_for_none(monkeypatch):
    """Guards against a simulation that cannot fail: no wait for an assignment that the
    store may have lost."""
    monkeypatch.setattr(StoreEras, "may_have_lost_writes", lambda _eras: False)
    assert await find_violations_of_lost_assignments(SERVICE)


async def test_check_fails_if_a_missing_service_is_taken_for_free(monkeypatch):
    """Guards against a simulation that cannot fail: a sweep of recorded services that
    ends early, and no wait for the others."""
    monkeypatch.setattr(FenceSweep, "is_complete", lambda *_args: True)
    assert await find_violations_of_lost_assignments(OTHER_SERVICE)


@pytest.mark.parametrize("restarted", [0, 1])
async def test_service_with_a_lost_assignment_is_served_again_soon(restarted):
    """Guards against a wait of a leader that knows all servers.

    Their releases show that the keys are free.
    """
    simulation = await lose_first_assignment(2, OTHER_SERVICE, restarted)
    simulation.late_command_rate = 0.0
    for leader in [one for one in simulation.leaders if one.name.endswith("'")]:
        leader.cut_off = True
    await run_for(simulation, 4.5)
    for service in (SERVICE, OTHER_SERVICE):
        assert all(simulation.holder(key, service) for key in simulation.sampled_keys)
    assert simulation.violations == []


async def test_only_a_restarted_host_may_have_missed_grants():
    """Guards against a leader that waits for 17 s while another host need not."""
    simulation = await lose_first_assignment(2, OTHER_SERVICE, restarted=1)
    for leader in simulation.leaders:
        leader.eras.record(simulation.store.era)
        missed = leader.assigner.may_have_missed_grants()
        assert missed is leader.name.endswith("'")


@pytest.mark.parametrize("recorded", [False, True])
@pytest.mark.parametrize("seed", range(4))
async def test_leader_of_the_lost_seconds_is_waited_for(seed, recorded):
    """Guards against two owners: a leader that the copy does not know renews its grants
    while it is cut off, and its successor took all leaders for ended."""
    simulation = Simulation(seed)
    if not recorded:
        simulation.servers.clear()
    await run_for(simulation)
    steps = simulation.steps
    first = next(one for one in simulation.leaders if one.election.authority)
    first.cut_off = True
    await run_for(simulation, 2.0)
    if not recorded:
        for index in range(4):
            simulation.start_server(f"s{index}")
    await run_for(simulation, 1.0)
    others = [one for one in simulation.leaders if one is not first]
    lost = next(one for one in others if one.election.authority)
    lost.cut_off = lost.silent = True
    for leader in [*simulation.leaders]:
        if leader is not lost:
            simulation.restart_leader(leader)
            simulation.blocked_paths.add((f"{leader.name}'", "s0"))
    simulation.restore_store(simulation.steps - steps)
    await run_for(simulation, 25.0)
    assert simulation.violations == []


@pytest.mark.parametrize("seed", range(4))
async def test_host_that_stood_still_gives_no_key_a_second_owner(seed):
    """Guards against a sweep by a host that has missed the servers of the last seconds,
    which ended before they had registered again."""
    simulation = Simulation(seed)
    await run_for(simulation)
    frozen, *others = simulation.random.sample(simulation.leaders, 3)
    simulation.freeze(frozen)
    steps = simulation.steps
    simulation.keyed_services = [SERVICE, OTHER_SERVICE]
    await run_for(simulation, 1.5)
    for index in range(4):
        simulation.start_server(f"t{index}", OTHER_SERVICE)
    await run_for(simulation, 1.5)
    for leader in others:
        leader.cut_off = True
    await run_for(simulation, 2.2)
    for leader in others:
        simulation.restart_leader(leader)
    for leader in simulation.leaders:
        leader.cut_off = leader is not frozen
    simulation.restore_store(simulation.steps - steps)
    simulation.thaw(frozen)
    await run_for(simulation, 1.0)
    simulation.start_server("t4", OTHER_SERVICE)
    await run_for(simulation, 19.0)
    assert simulation.violations == []
    assert frozen.election.authority
    for service in (SERVICE, OTHER_SERVICE):
        assert all(simulation.holder(key, service) for key in simulation.sampled_keys)


async def test_host_that_started_between_two_restores_waits():
    """Guards against two owners: such a host took itself for one that knows all servers
    that the leaders of the first era had granted keys."""
    simulation = Simulation(3)
    await run_for(simulation)
    for leader in [*simulation.leaders]:
        simulation.restart_leader(leader)
    simulation.restore_store(1)
    await run_for(simulation, 2.0)
    simulation.restore_store(1)
    leader = simulation.leaders[0]
    assert leader.view.assignment_revision
    assert not leader.view.knows_earlier_grants()
    await run_for(simulation, 18.0)
    assert leader.view.assignment.confirmed_era == 2
    simulation.restore_store(1)
    assert leader.view.knows_earlier_grants()


async def test_new_service_gets_owners_at_once_when_earlier_grants_have_expired():
    """Guards against a wait of each later leader, also of one that has just started."""
    simulation = Simulation(3)
    await run_for(simulation)
    simulation.restore_store(1)
    await run_for(simulation, 20.0)
    for leader in [*simulation.leaders]:
        simulation.restart_leader(leader)
    await run_for(simulation, 3.0)
    simulation.keyed_services.append(OTHER_SERVICE)
    simulation.start_server("t0", OTHER_SERVICE)
    await run_for(simulation, 1.0)
    assert simulation.holder(0, OTHER_SERVICE)


async def split_ranges(simulation, parts=24):
    """Move every second part of the keys, so that each server holds several ranges."""
    leader = next(one for one in simulation.leaders if one.election.authority)
    size = KEY_COUNT // parts
    for index in range(0, parts, 2):
        leader.assigner._leader_state.ownership.begin_move(
            SERVICE, index * size, (index + 1) * size - 1, f"s{index % 4}", 0.0
        )
    await run_for(simulation, 6.0)


def owners(simulation):
    leader = next(one for one in simulation.leaders if one.election.authority)
    ranges = leader.view.assignment.ranges[SERVICE]
    return [(owned.first, owned.last, owned.server) for owned in ranges]


@pytest.mark.parametrize("seed", SEEDS)
async def test_lost_responses_to_grants_move_no_keys(seed, monkeypatch):
    """A server counted as lost once two grants in a row for one of its ranges had no
    response, so all keys moved on and on, in ever smaller ranges (issue 40)."""
    simulation = Simulation(seed)
    await run_for(simulation)
    await split_ranges(simulation)
    before = owners(simulation)
    assert len(before) > 12
    simulation.lost_grant_rate = 0.5
    await run_for(simulation, 15.0)
    assert owners(simulation) == before
    assert all(simulation.holder(key) for key in simulation.sampled_keys)


@pytest.mark.parametrize("kind", ["no-connection", "no-response"])
async def test_servers_that_answer_no_grant_get_no_more_commands(kind, monkeypatch):
    """Each range was granted again at every tick while its server reset connections,
    which took the connections of callers (issue 40).

    The bound is the number of renewals of as many ranges, and four retries of each.
    """
    simulation = Simulation(1)
    await run_for(simulation)
    await split_ranges(simulation)
    sent = []

    async def grant(_commands, server, _address, command, _timeout_s):
        sent.append(server)
        result = CommandResult.UNKNOWN
        if kind == "no-connection":
            result = CommandResult.NOT_RUN
        return CommandResponse(result, "", kind)

    monkeypatch.setattr(LeaderCommands, "grant", grant)
    ranges = len(owners(simulation))
    await run_for(simulation, 6.0)
    assert len(sent) <= ranges * (6.0 / GRANT_INTERVAL_S + 4)


async def test_late_leader_takes_no_server_for_lost(monkeypatch):
    """A leader whose loop is late gives up grants whose responses are there."""
    simulation = Simulation(1)
    await run_for(simulation)

    async def grant(_commands, _server, _address, _command, timeout_s):
        sent_s = simulation.now_s
        await asyncio.sleep(0)
        simulation.now_s = max(simulation.now_s, sent_s + timeout_s + 0.3)
        return CommandResponse(CommandResult.UNKNOWN, "", "TimeoutError")

    monkeypatch.setattr(LeaderCommands, "grant", grant)
    for _ in range(10):
        await simulation.advance()
    leader = next(one for one in simulation.leaders if one.election.authority)
    evidence = leader.assigner._leader_state.ownership.evidence
    assert {evidence.silent_rounds(server) for server in simulation.servers} == {0}


async def test_new_leader_spreads_its_grants(monkeypatch):
    """A successor sent hundreds of grants at once, answered nobody meanwhile, and lost
    the role again (issue 37, trouble-1 of wendel-gate-grown)."""
    simulation = Simulation(3)
    await run_for(simulation)
    await split_ranges(simulation, parts=160)
    started = []
    original_start = command_runner.CommandRunner._start

    def start(runner, *command):
        started.append(round(simulation.now_s, 1))
        original_start(runner, *command)

    monkeypatch.setattr(command_runner.CommandRunner, "_start", start)
    leader = next(one for one in simulation.leaders if one.election.authority)
    leader.election.step_down("test")
    await run_for(simulation, 4.0)
    ranges = len(owners(simulation))
    assert ranges > 100
    assert max(started.count(at_s) for at_s in {*started}) <= ranges / 2
    assert all(simulation.holder(key) for key in simulation.sampled_keys)


async def test_server_that_had_lost_its_keys_gets_a_grant_with_new_ones():
    """Its earlier silence moved the keys on before any grant was sent to it."""
    simulation = Simulation(1)
    await run_for(simulation)
    leader = next(one for one in simulation.leaders if one.election.authority)
    simulation.blocked_paths.add((leader.name, "s1"))
    await run_for(simulation, 6.0)
    known = leader.assigner._leader_state.ownership
    assert known.evidence.silent_rounds("s1") >= 3
    assert "s1" not in {server for _, _, server in owners(simulation)}
    simulation.blocked_paths.clear()
    known.begin_move(SERVICE, 0, 9, "s1", simulation.now_s)
    await run_for(simulation, 0.5)
    assert simulation.holder(0).server == "s1"
