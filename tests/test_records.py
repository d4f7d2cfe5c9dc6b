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
KEYS = ("k1", "k2")
HOST = st.sampled_from(sorted(HOSTS))
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

    @rule(name=ENTRY, key=st.sampled_from(KEYS))
    def start(self, name, key):
        self.fleet.start(name, key)

    @rule(name=ENTRY, key=st.sampled_from(KEYS), outcome=st.sampled_from(OUTCOMES))
    def run(self, name, key, outcome):
        self.fleet.run(name, key, outcome)

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

    @rule(host=HOST, admitted=st.booleans())
    def restart(self, host, admitted):
        self.fleet.restart(host)
        if admitted:
            self.fleet.admit(host)

    @rule(host=HOST)
    def remove(self, host):
        self.fleet.remove(host)

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

    @rule(seconds=st.sampled_from((0.02, 0.3, 20.0, 61.0, 400.0)))
    def pass_time(self, seconds):
        self.fleet.pass_time(seconds)

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
        ),
    )


def test_no_key_is_sent_twice():
    """Guards against a second run under kills, replacements and odd messages."""
    run_machine(RecordsMachine, 20_000 if LONG else 150)


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
