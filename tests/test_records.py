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
from jacinthpath.record_messages import (
    RUNNING,
)
from jacinthpath.record_roster import (
    choose_holders,
)
from jacinthpath.record_standing import HolderStanding

from .record_fleet import HOSTS, OUTCOMES, Fleet

LONG = os.environ.get("JACINTHPATH_LONG") == "1"
KEY = "k1"
HOST = st.sampled_from(sorted(HOSTS))
REACH = st.sampled_from(((0, 1), (0, 2), (1, 2), (0, 1, 2)))
ENTRY = st.sampled_from(("e0", "e1", "e2"))
INDEX = st.integers(0, 999)


class RecordsMachine(RuleBasedStateMachine):
    """Guards against a second run, and against "not run" told after a run.

    The fleet checks both at each send and each answer to a caller.
    """

    standing_class = HolderStanding

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(self.standing_class)

    @rule(name=ENTRY)
    def start(self, name):
        self.fleet.start(name, KEY)

    @rule(name=ENTRY, outcome=st.sampled_from(OUTCOMES), reach=REACH)
    def run(self, name, outcome, reach):
        self.fleet.run(name, KEY, outcome, reach)

    @precondition(lambda self: self.fleet.messages)
    @rule(index=INDEX, keep=st.booleans())
    def deliver(self, index, keep):
        self.fleet.deliver(index % len(self.fleet.messages), keep)

    @precondition(lambda self: self.fleet.messages)
    @rule(index=INDEX)
    def lose(self, index):
        self.fleet.messages.pop(index % len(self.fleet.messages))

    @rule()
    def deliver_all(self):
        self.fleet.deliver_all(shuffle=True)

    @precondition(lambda self: self.fleet.requests)
    @rule(index=INDEX, outcome=st.sampled_from(OUTCOMES))
    def progress(self, index, outcome):
        requests = self.fleet.requests
        self.fleet.progress(requests[index % len(requests)], outcome)

    @rule(name=ENTRY)
    def kill_entry(self, name):
        self.fleet.kill_entry(name)

    @rule(name=ENTRY)
    def learn_entry(self, name):
        self.fleet.learn_entry(name)

    @rule(host=HOST)
    def restart(self, host):
        self.fleet.restart(host)

    @rule(host=HOST, learners=st.sets(HOST))
    def replace(self, host, learners):
        self.fleet.restart(host)
        self.fleet.admit(host)
        self._learn_and_pull(learners | {host})

    @rule(reach=REACH, pulled=st.booleans())
    def replace_holders(self, reach, pulled):
        hosts = choose_holders("shop", "order", KEY, self.fleet.roster.hosts())
        for host in [host for at, host in enumerate(hosts) if at in reach]:
            self.fleet.restart(host)
            self.fleet.admit(host)
        for name in self.fleet.entries:
            self.fleet.learn_entry(name)
        for host in HOSTS:
            self.fleet.learn(host)
        if pulled:
            self._learn_and_pull(HOSTS)

    @rule(host=HOST, learners=st.sets(HOST))
    def remove(self, host, learners):
        self.fleet.remove(host)
        self._learn_and_pull(learners)

    def _learn_and_pull(self, hosts):
        for host in sorted(hosts):
            self.fleet.learn(host)
        for host in sorted(hosts):
            self.fleet.pull(host)
        self.fleet.deliver_kinds("transfer", "page")

    @rule(host=HOST)
    def admit(self, host):
        self.fleet.admit(host)

    @rule(host=HOST)
    def learn(self, host):
        self.fleet.learn(host)

    @rule(host=HOST)
    def pull(self, host):
        self.fleet.pull(host)

    @rule()
    def converge(self):
        self.fleet.converge()

    @rule(seconds=st.sampled_from((0.02, 0.3, 40.0)))
    def pass_time(self, seconds):
        self.fleet.pass_time(seconds)

    @rule(seconds=st.sampled_from((61.0, 400.0)), host=HOST)
    def pass_long_time(self, seconds, host):
        self.fleet.pass_time(seconds)
        self.fleet.learn(host)

    @invariant()
    def ledgers_account_for_their_memory(self):
        for holder in self.fleet.holders.values():
            records = holder.ledger._records.values()
            assert holder.ledger.bytes_used == sum(each.size for each in records)


def run_machine(machine, examples, steps=60):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=not LONG,
            deadline=None,
            database=None,
            print_blob=True,
        ),
    )


# Each part stays under the time limit of a test.
@pytest.mark.parametrize("part", range(12 if LONG else 1))
def test_no_key_is_sent_twice(part):
    """Guards against a second run under kills, replacements and odd messages."""
    run_machine(RecordsMachine, 1_000 if LONG else 150)


class NoStanding(HolderStanding):
    """Reads an empty memory as new."""

    def refusal(self, key, version, now):
        return ""


def replace_holders(fleet, key, count):
    """Replace holders of a key by processes with empty memory."""
    hosts = choose_holders("shop", "order", key, fleet.roster.hosts())
    for host in hosts[:count]:
        fleet.restart(host)
        fleet.admit(host)
    for host in HOSTS:
        fleet.learn(host)


def scenario_replaced_holder(fleet):
    fleet.run("e0", "k1", "lost")
    replace_holders(fleet, "k1", 1)
    fleet.learn_entry("e1")
    return fleet.run("e1", "k1")


def scenario_two_replaced_holders(fleet):
    fleet.run("e0", "k1", "lost")
    replace_holders(fleet, "k1", 2)
    fleet.learn_entry("e1")
    return fleet.run("e1", "k1")


def scenario_entry_killed(fleet):
    fleet.run("e0", "k1", "lost")
    fleet.kill_entry("e0")
    return fleet.run("e1", "k1")


def test_single_holder_runs_twice_when_it_is_replaced(monkeypatch):
    """Guards against records on one host only."""
    monkeypatch.setattr(record_quorum, "QUORUM", 1)
    with pytest.raises(AssertionError, match="second send"):
        scenario_replaced_holder(Fleet(NoStanding, holder_count=1))


def test_empty_memory_read_as_new_runs_twice():
    """Guards against holders that take their restart for an absent record."""
    with pytest.raises(AssertionError, match="second send"):
        scenario_two_replaced_holders(Fleet(NoStanding))


def test_records_in_the_entry_process_run_twice(monkeypatch):
    """Guards against records that die with the entry process."""
    monkeypatch.setattr(record_quorum, "QUORUM", 0)
    with pytest.raises(AssertionError, match="second send"):
        scenario_entry_killed(Fleet(holder_count=0))


@pytest.mark.parametrize(
    ("scenario", "state"),
    [
        (scenario_replaced_holder, RUNNING),
        (scenario_two_replaced_holders, RUNNING),
        (scenario_entry_killed, RUNNING),
    ],
)
def test_records_hold_where_naive_versions_run_twice(scenario, state):
    """Guards against a second run on the scenarios that the naive versions fail."""
    fleet = Fleet()
    assert scenario(fleet) == ("told", state)
    assert len(fleet.sends["k1"]) == 1


class AnyVersion(HolderStanding):
    """Accepts claims of any roster version, and says so."""

    hides_version = True

    def refusal(self, key, version, now):
        own = self.roster.version if self.roster else 0
        return super().refusal(key, own, now)


class GainsUnnoticed(HolderStanding):
    """Takes itself for current for keys that it gained by a change."""

    def _may_gain_keys(self, following):
        return False


class AnyPeerVersion(HolderStanding):
    """Counts transfers of peers that still accept claims of older versions."""

    def note_transfer(self, host, peer, now):
        peer = peer._replace(version=self.roster.version)
        super().note_transfer(host, peer, now)


class AnyPeerBase(HolderStanding):
    """Counts transfers of peers that are not complete themselves."""

    def note_transfer(self, host, peer, now):
        peer = peer._replace(base=self.roster.version)
        super().note_transfer(host, peer, now)


class OnePeer(HolderStanding):
    """Takes the records of one peer for all records."""

    def _all_sharers_complete(self):
        return True


class Unconfirmed(HolderStanding):
    """Accepts claims although its roster may have been replaced long ago."""

    def confirm(self, at):
        super().confirm(float("inf"))


class ShortWait(HolderStanding):
    """Counts as complete before the records it may miss have expired."""

    def __init__(self, member, retention_s):
        super().__init__(member, retention_s)
        self._wait_s = 60.0


class RemovalUnnoticed(HolderStanding):
    """Takes itself for current although it was no member for a while."""

    def _was_removed(self, changes):
        return False


# Positions of the holders of the key: a1, c1 and b1. The successor of a1 is a2, that
# of b1 is b2.
A1_C1, A1_B1, C1_B1, ALL = (0, 1), (0, 2), (1, 2), (0, 1, 2)


def advance(fleet, *hosts):
    for host in hosts or HOSTS:
        fleet.learn(host)
    for host in hosts or HOSTS:
        fleet.pull(host)
    fleet.deliver_kinds("transfer", "page")


def lagging_entry(fleet):
    fleet.remove("a1")
    advance(fleet, "a2", "b1", "b2", "c1", "d1")
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def successor_without_records(fleet):
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.remove("a1")
    for host in HOSTS:
        fleet.learn(host)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def transfer_from_lagging_holder(fleet):
    fleet.remove("a1")
    advance(fleet, "a2", "b1", "b2", "d1")
    fleet.pull("a2")
    fleet.deliver_kinds("transfer", "page")
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def transfer_from_young_holder(fleet):
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.remove("a1")
    fleet.restart("c1")
    fleet.admit("c1")
    advance(fleet)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def transfer_of_one_holder(fleet):
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.remove("a1")
    for host in HOSTS:
        fleet.learn(host)
    fleet.pull("a2")
    fleet.messages = [each for each in fleet.messages if each[1] != "c1"]
    fleet.deliver_kinds("transfer", "page")
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def long_partition(fleet):
    for host in ("a1", "b1"):
        fleet.remove(host)
    others = ("a2", "b2", "c1", "d1")
    advance(fleet, *others)
    fleet.pass_time(800.0)
    for host in ("a1", "b1"):
        fleet.holders[host].standing.confirm(fleet.now - 800.0)
    advance(fleet, *others)
    fleet.run("e0", KEY, "lost", A1_B1)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def two_lost_holders(fleet):
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.remove("a1")
    fleet.restart("c1")
    fleet.admit("c1")
    advance(fleet)
    fleet.pass_time(61.0)
    advance(fleet)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


def earlier_process_returns(fleet):
    earlier = fleet.holders["a1"]
    fleet.restart("a1")
    fleet.admit("a1")
    advance(fleet)
    fleet.learn_entry("e0")
    fleet.run("e0", KEY, "lost", A1_C1)
    fleet.holders["a1"] = earlier
    fleet.admit("a1")
    for host in HOSTS:
        fleet.learn(host)
    fleet.learn_entry("e1")
    fleet.run("e1", KEY, "lost", A1_B1)


GUARDS = [
    (lagging_entry, AnyVersion),
    (successor_without_records, GainsUnnoticed),
    (transfer_from_lagging_holder, AnyPeerVersion),
    (transfer_from_young_holder, AnyPeerBase),
    (transfer_of_one_holder, OnePeer),
    (long_partition, Unconfirmed),
    (two_lost_holders, ShortWait),
    (earlier_process_returns, RemovalUnnoticed),
]


@pytest.mark.parametrize(("scenario", "weakened"), GUARDS)
def test_each_rule_of_the_standing_prevents_a_second_run(scenario, weakened):
    """Guards against holder sets that differ, and memory that is incomplete.

    Each scenario makes a second run when the one rule is left out.
    """
    fleet = Fleet()
    scenario(fleet)
    assert len(fleet.sends[KEY]) <= 1
    with pytest.raises(AssertionError, match="second send"):
        scenario(Fleet(weakened))
