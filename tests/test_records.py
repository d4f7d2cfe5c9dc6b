import os

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from jacinthpath import record_quorum
from jacinthpath.record_completeness import HolderCompleteness
from jacinthpath.record_messages import (
    RUNNING,
)
from jacinthpath.record_roster import (
    choose_holders,
)

from .record_simulation import HOSTS, OUTCOMES, Simulation

IS_LONG_RUN = os.environ.get("JACINTHPATH_LONG") == "1"
KEY = "k1"
HOST = st.sampled_from(sorted(HOSTS))
REACHABLE = st.sampled_from(((0, 1), (0, 2), (1, 2), (0, 1, 2)))
ENTRY = st.sampled_from(("e0", "e1", "e2"))
INDEX = st.integers(0, 999)


class RecordsMachine(RuleBasedStateMachine):
    """Guards against a second run, and against the answer "not run" after a run.

    The simulation checks both at each send and each answer to a caller.
    """

    completeness_class = HolderCompleteness

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(self.completeness_class)

    @rule(name=ENTRY)
    def start(self, name):
        self.simulation.start(name, KEY)

    @rule(name=ENTRY, outcome=st.sampled_from(OUTCOMES), reachable=REACHABLE)
    def run(self, name, outcome, reachable):
        self.simulation.run(name, KEY, outcome, reachable)

    @precondition(lambda self: self.simulation.messages)
    @rule(index=INDEX, duplicate=st.booleans())
    def deliver(self, index, duplicate):
        self.simulation.deliver(index % len(self.simulation.messages), duplicate)

    @precondition(lambda self: self.simulation.messages)
    @rule(index=INDEX)
    def lose(self, index):
        self.simulation.messages.pop(index % len(self.simulation.messages))

    @rule()
    def deliver_all(self):
        self.simulation.deliver_all(shuffle=True)

    @precondition(lambda self: self.simulation.requests)
    @rule(index=INDEX, outcome=st.sampled_from(OUTCOMES))
    def progress(self, index, outcome):
        requests = self.simulation.requests
        self.simulation.progress(requests[index % len(requests)], outcome)

    @rule(name=ENTRY)
    def kill_entry(self, name):
        self.simulation.kill_entry(name)

    @rule(name=ENTRY)
    def update_entry_roster(self, name):
        self.simulation.update_entry_roster(name)

    @rule(host=HOST)
    def restart(self, host):
        self.simulation.restart(host)

    @rule(host=HOST, updated_hosts=st.sets(HOST))
    def replace(self, host, updated_hosts):
        self.simulation.restart(host)
        self.simulation.admit(host)
        self._update_and_pull(updated_hosts | {host})

    @rule(reachable=REACHABLE, pulled=st.booleans())
    def replace_holders(self, reachable, pulled):
        hosts = choose_holders("shop", "order", KEY, self.simulation.roster.hosts())
        for host in [host for at, host in enumerate(hosts) if at in reachable]:
            self.simulation.restart(host)
            self.simulation.admit(host)
        for name in self.simulation.entries:
            self.simulation.update_entry_roster(name)
        for host in HOSTS:
            self.simulation.update_holder_roster(host)
        if pulled:
            self._update_and_pull(HOSTS)

    @rule(host=HOST, updated_hosts=st.sets(HOST))
    def remove(self, host, updated_hosts):
        self.simulation.remove(host)
        self._update_and_pull(updated_hosts)

    def _update_and_pull(self, hosts):
        for host in sorted(hosts):
            self.simulation.update_holder_roster(host)
        for host in sorted(hosts):
            self.simulation.pull(host)
        self.simulation.deliver_kinds("transfer", "page")

    @rule(host=HOST)
    def admit(self, host):
        self.simulation.admit(host)

    @rule(host=HOST)
    def update_holder_roster(self, host):
        self.simulation.update_holder_roster(host)

    @rule(host=HOST)
    def pull(self, host):
        self.simulation.pull(host)

    @rule()
    def converge(self):
        self.simulation.converge()

    @rule(seconds=st.sampled_from((0.02, 0.3, 40.0)))
    def pass_time(self, seconds):
        self.simulation.pass_time(seconds)

    @rule(seconds=st.sampled_from((61.0, 400.0)), host=HOST)
    def pass_long_time(self, seconds, host):
        self.simulation.pass_time(seconds)
        self.simulation.update_holder_roster(host)

    @invariant()
    def ledgers_account_for_their_memory(self):
        for holder in self.simulation.holders.values():
            records = holder.ledger._records.values()
            assert holder.ledger.bytes_used == sum(each.size for each in records)


def run_machine(machine, examples, steps=60):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=not IS_LONG_RUN,
            deadline=None,
            database=None,
            print_blob=True,
        ),
    )


# A long run is split into parts that each stay under the time limit of a test.
@pytest.mark.parametrize("part", range(12 if IS_LONG_RUN else 1))
def test_no_key_is_sent_twice(part):
    """Guards against a second run when processes are killed or replaced.

    Messages are lost, duplicated and delivered in any order meanwhile.
    """
    run_machine(RecordsMachine, 1_000 if IS_LONG_RUN else 150)


class AbsentMeansNew(HolderCompleteness):
    """Takes every absent record for a new key, also after a restart."""

    def refusal_reason(self, key, version, now):
        return ""


def replace_holders(simulation, key, count):
    """Replace holders of a key by new processes without records."""
    hosts = choose_holders("shop", "order", key, simulation.roster.hosts())
    for host in hosts[:count]:
        simulation.restart(host)
        simulation.admit(host)
    for host in HOSTS:
        simulation.update_holder_roster(host)


def scenario_replaced_holder(simulation):
    """One holder of a running key is replaced before another entry claims it."""
    simulation.run("e0", "k1", "lost")
    replace_holders(simulation, "k1", 1)
    simulation.update_entry_roster("e1")
    return simulation.run("e1", "k1")


def scenario_two_replaced_holders(simulation):
    """Two holders of a running key are replaced before another entry claims it."""
    simulation.run("e0", "k1", "lost")
    replace_holders(simulation, "k1", 2)
    simulation.update_entry_roster("e1")
    return simulation.run("e1", "k1")


def scenario_entry_killed(simulation):
    """The entry process of a running key is killed before another entry claims it."""
    simulation.run("e0", "k1", "lost")
    simulation.kill_entry("e0")
    return simulation.run("e1", "k1")


def test_single_holder_runs_twice_when_it_is_replaced(monkeypatch):
    """Guards against records that are kept on one host only."""
    monkeypatch.setattr(record_quorum, "QUORUM", 1)
    with pytest.raises(AssertionError, match="second send"):
        scenario_replaced_holder(Simulation(AbsentMeansNew, holder_count=1))


def test_absent_record_taken_as_new_runs_twice():
    """Guards against holders that take a record lost by their restart for a new key."""
    with pytest.raises(AssertionError, match="second send"):
        scenario_two_replaced_holders(Simulation(AbsentMeansNew))


def test_records_in_the_entry_process_run_twice(monkeypatch):
    """Guards against records that are lost with the entry process."""
    monkeypatch.setattr(record_quorum, "QUORUM", 0)
    with pytest.raises(AssertionError, match="second send"):
        scenario_entry_killed(Simulation(holder_count=0))


@pytest.mark.parametrize(
    ("scenario", "state"),
    [
        (scenario_replaced_holder, RUNNING),
        (scenario_two_replaced_holders, RUNNING),
        (scenario_entry_killed, RUNNING),
    ],
)
def test_records_prevent_the_second_runs_of_naive_versions(scenario, state):
    """Guards against a second run in the scenarios in which naive versions fail."""
    simulation = Simulation()
    assert scenario(simulation) == ("answered", state)
    assert len(simulation.sends["k1"]) == 1


class AcceptsAnyVersion(HolderCompleteness):
    """Accepts claims of any roster version, and reports the version of the claim."""

    reports_claimed_version = True

    def refusal_reason(self, key, version, now):
        own = self.roster.version if self.roster else 0
        return super().refusal_reason(key, own, now)


class IgnoresGainedKeys(HolderCompleteness):
    """Counts as current for keys that it gained by a change of the roster."""

    def _may_gain_keys(self, next_roster):
        return False


class IgnoresPeerVersion(HolderCompleteness):
    """Counts transfers of peers that still accept claims of older versions."""

    def record_transfer(self, host, peer_report, now):
        peer_report = peer_report._replace(version=self.roster.version)
        super().record_transfer(host, peer_report, now)


class IgnoresPeerCompleteness(HolderCompleteness):
    """Counts transfers of peers that are not complete themselves."""

    def record_transfer(self, host, peer_report, now):
        peer_report = peer_report._replace(complete_up_to=self.roster.version)
        super().record_transfer(host, peer_report, now)


class CompleteAfterOnePeer(HolderCompleteness):
    """Counts as complete after pulling the records of one peer."""

    def _all_co_holders_complete(self):
        return True


class IgnoresMissingConfirmation(HolderCompleteness):
    """Accepts claims although its roster may have been replaced long ago."""

    def record_confirmation(self, at):
        super().record_confirmation(float("inf"))


class WaitsTooShort(HolderCompleteness):
    """Counts as complete before the records it may miss have expired."""

    def __init__(self, member, retention_s):
        super().__init__(member, retention_s)
        self._seal_wait_s = 60.0


class IgnoresRemoval(HolderCompleteness):
    """Counts as current although it was not a member in between."""

    def _was_removed(self, changes):
        return False


# Positions among the holders of the key, which are a1, c1 and b1. When a1 is removed,
# a2 becomes a holder; when b1 is removed, b2.
A1_C1, A1_B1, C1_B1, ALL = (0, 1), (0, 2), (1, 2), (0, 1, 2)


def advance(simulation, *hosts):
    for host in hosts or HOSTS:
        simulation.update_holder_roster(host)
    for host in hosts or HOSTS:
        simulation.pull(host)
    simulation.deliver_kinds("transfer", "page")


def lagging_entry(simulation):
    """An entry claims at the holders of an old roster, another at those of the new."""
    simulation.remove("a1")
    advance(simulation, "a2", "b1", "b2", "c1", "d1")
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def successor_without_records(simulation):
    """A new holder of a running key has not pulled its record."""
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.remove("a1")
    for host in HOSTS:
        simulation.update_holder_roster(host)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def transfer_from_lagging_holder(simulation):
    """A new holder pulls from one that then accepts a claim of the old roster."""
    simulation.remove("a1")
    advance(simulation, "a2", "b1", "b2", "d1")
    simulation.pull("a2")
    simulation.deliver_kinds("transfer", "page")
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def transfer_from_incomplete_holder(simulation):
    """A new holder pulls from one that was restarted without records."""
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.remove("a1")
    simulation.restart("c1")
    simulation.admit("c1")
    advance(simulation)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def transfer_of_one_holder(simulation):
    """A new holder has pulled from its peers except the one with the record."""
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.remove("a1")
    for host in HOSTS:
        simulation.update_holder_roster(host)
    simulation.pull("a2")
    simulation.messages = [each for each in simulation.messages if each[1] != "c1"]
    simulation.deliver_kinds("transfer", "page")
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def long_partition(simulation):
    """Two removed holders keep an old roster for longer than the retention."""
    for host in ("a1", "b1"):
        simulation.remove(host)
    others = ("a2", "b2", "c1", "d1")
    advance(simulation, *others)
    simulation.pass_time(800.0)
    for host in ("a1", "b1"):
        simulation.holders[host].completeness.record_confirmation(
            simulation.now - 800.0
        )
    advance(simulation, *others)
    simulation.run("e0", KEY, "lost", A1_B1)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def two_lost_holders(simulation):
    """Two holders of a running key are lost, and too little time passes."""
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.remove("a1")
    simulation.restart("c1")
    simulation.admit("c1")
    advance(simulation)
    simulation.pass_time(61.0)
    advance(simulation)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


def earlier_process_returns(simulation):
    """A replaced holder process returns without the records accepted meanwhile."""
    earlier = simulation.holders["a1"]
    simulation.restart("a1")
    simulation.admit("a1")
    advance(simulation)
    simulation.update_entry_roster("e0")
    simulation.run("e0", KEY, "lost", A1_C1)
    simulation.holders["a1"] = earlier
    simulation.admit("a1")
    for host in HOSTS:
        simulation.update_holder_roster(host)
    simulation.update_entry_roster("e1")
    simulation.run("e1", KEY, "lost", A1_B1)


WEAKENED_RULES = [
    (lagging_entry, AcceptsAnyVersion),
    (successor_without_records, IgnoresGainedKeys),
    (transfer_from_lagging_holder, IgnoresPeerVersion),
    (transfer_from_incomplete_holder, IgnoresPeerCompleteness),
    (transfer_of_one_holder, CompleteAfterOnePeer),
    (long_partition, IgnoresMissingConfirmation),
    (two_lost_holders, WaitsTooShort),
    (earlier_process_returns, IgnoresRemoval),
]


@pytest.mark.parametrize(("scenario", "weakened"), WEAKENED_RULES)
def test_each_completeness_rule_prevents_a_second_run(scenario, weakened):
    """Guards against a second run with differing holder sets or incomplete memory.

    Each scenario leads to a second run when its rule is left out.
    """
    simulation = Simulation()
    scenario(simulation)
    assert len(simulation.sends[KEY]) <= 1
    with pytest.raises(AssertionError, match="second send"):
        scenario(Simulation(weakened))
