"""Rules of the record ledger, the quorum and the first start, one test each."""

import pytest
from hypothesis import given, settings, strategies as st

from jacinthpath.record_completeness import HolderCompleteness
from jacinthpath.record_messages import (
    CANNOT_TELL,
    MISMATCH,
    NEW,
    RUNNING,
    SETTLED,
    UNKNOWN,
    Claim,
    KeptResponse,
)
from jacinthpath.record_roster import (
    Member,
    RosterBootstrap,
    StoreResult,
    choose_holders,
    decode_roster,
    encode_roster,
    initial_roster,
)
from jacinthpath.records import RecordLedger

from .record_simulation import HOSTS, Simulation

KEY = "k1"


def deliver_claims(simulation, order):
    """Deliver pending claims in the given order of entry process and holder."""
    names = {each.entry[0]: each for each in simulation.requests}
    for name, host in order:
        claim = names[name].claim
        at = [each[:3] for each in simulation.messages].index(("claim", host, claim))
        simulation.deliver(at)


@pytest.mark.parametrize(
    "order",
    [
        [("e0", "a1"), ("e1", "c1"), ("e2", "b1")],
        [("e0", "a1"), ("e1", "c1"), ("e1", "b1")],
        [("e1", "a1"), ("e0", "c1"), ("e0", "b1"), ("e2", "b1")],
    ],
)
def test_split_claims_end_with_one_send(order):
    """Guards against claimants that both win, or that block each other forever."""
    simulation = Simulation()
    requests = [simulation.start(name, KEY) for name in ("e0", "e1", "e2")]
    deliver_claims(simulation, order)
    for _ in range(10):
        simulation.deliver_all(shuffle=True)
        simulation.pass_time(0.3)
    assert [each.status for each in requests].count("claimed") == 1
    assert {state for _, state in simulation.answers} == {RUNNING}


def test_withdrawn_claim_allows_a_retry():
    """Guards against a key that stays blocked after a refusal by the endpoint."""
    simulation = Simulation()
    assert simulation.run("e0", KEY, "refused") == ("answered", NEW)
    withdrawn_claim = simulation.requests[0].claim
    assert (
        simulation.holders["a1"].ledger.claim(withdrawn_claim, simulation.now).reason
        == "withdrawn"
    )
    assert simulation.run("e1", KEY) == ("done", "")


def test_outcome_is_unknown_after_the_deadline_of_a_dead_entry():
    """Guards against a record that stays "running" when no process can settle it."""
    simulation = Simulation()
    simulation.run("e0", KEY, "lost")
    simulation.kill_entry("e0")
    simulation.pass_time(61.0)
    assert simulation.run("e1", KEY) == ("answered", UNKNOWN)


def test_records_are_complete_again_after_two_lost_holders_and_the_retention():
    """Guards against keys that are refused forever after two holders failed."""
    simulation = Simulation()
    for host in choose_holders("shop", "order", KEY, HOSTS)[:2]:
        simulation.restart(host)
    simulation.converge()
    assert simulation.run("e0", KEY) == ("answered", CANNOT_TELL)
    simulation.pass_time(721.0)
    simulation.converge()
    assert simulation.run("e0", KEY) == ("done", "")


def make_ledger(**limits):
    simulation = Simulation()
    holder = simulation.holders["a1"]
    return RecordLedger(holder.completeness, **limits), simulation.now


def make_claim(number=1, digest=b"d", key=KEY):
    return Claim("shop", "order", key, digest, "e0", number, 10.0, 1)


def test_full_ledger_refuses_claims_and_drops_no_record():
    """Guards against a record that is dropped to make room for another one."""
    ledger, now = make_ledger(max_records=2)
    for key in ("k1", "k2"):
        assert ledger.claim(make_claim(1, key=key), now).state == NEW
    assert ledger.claim(make_claim(2, key="k3"), now).reason == "full"
    assert ledger.claim(make_claim(2), now).state == RUNNING
    assert ledger.claim(make_claim(2, key="k3"), now + 661.0).reason == "unconfirmed"
    ledger.completeness.record_confirmation(now + 661.0)
    assert ledger.claim(make_claim(2, key="k3"), now + 661.0).state == NEW
    assert len(ledger) == 1


def test_byte_limit_drops_bodies_before_records():
    """Guards against a settle that fails, or a body that exceeds the memory limit."""
    ledger, now = make_ledger(max_bytes=3_500)
    for key in ("k1", "k2"):
        ledger.claim(make_claim(key=key), now)
        response = KeptResponse(200, (), b"x" * 1_000)
        ledger.settle(make_claim(key=key), SETTLED, response, now)
    results = [ledger.claim(make_claim(2, key=key), now) for key in ("k1", "k2")]
    assert [each.state for each in results] == [SETTLED, SETTLED]
    assert [each.response.body_kept for each in results] == [True, False]
    assert ledger.bytes_used <= 3_500


def test_same_key_with_another_request_is_a_mismatch():
    """Guards against returning the response to a different request."""
    ledger, now = make_ledger()
    ledger.claim(make_claim(), now)
    assert ledger.claim(make_claim(2, b"other"), now).state == MISMATCH
    assert ledger.lookup(make_claim(2), now).state == RUNNING


@given(
    hosts=st.dictionaries(
        st.integers(0, 30).map(str), st.sampled_from("abcd"), min_size=4
    ),
    key=st.text(max_size=8),
    index=st.integers(0, 999),
)
@settings(derandomize=True, deadline=None, database=None)
def test_one_host_changes_at_most_one_holder(hosts, key, index):
    """Guards against a change of the roster that replaces two holders of a key."""
    chosen = choose_holders("a", "s", key, hosts)
    assert len({hosts[each] for each in chosen}) == min(3, len({*hosts.values()}))
    removed = sorted(hosts)[index % len(hosts)]
    remaining = {
        host: data_centre for host, data_centre in hosts.items() if host != removed
    }
    after = choose_holders("a", "s", key, remaining)
    assert len({*chosen} - {*after}) == (removed in chosen)


class FakeStore:
    """A store whose responses to writes may be lost."""

    def __init__(self):
        self.values = {}
        self.lost_responses = 0

    def call(self, call):
        if call.action == "create" and call.key not in self.values:
            self.values[call.key] = call.value
            self.lost_responses -= 1
            return StoreResult("unclear" if self.lost_responses >= 0 else "created")
        if call.action == "create":
            return StoreResult("exists")
        value = self.values.get(call.key)
        return StoreResult("absent") if value is None else StoreResult("found", value)


def bootstrap_host(store, host, process_id):
    initial_members = [Member(*each) for each in HOSTS.items()]
    bootstrap = RosterBootstrap(Member(host, "a", process_id), initial_members)
    while bootstrap.next_call() is not None:
        bootstrap.handle_result(store.call(bootstrap.next_call()))
    return bootstrap


@pytest.mark.parametrize("lost_responses", [0, 1, 2])
def test_first_start_of_an_initial_host_is_complete(lost_responses):
    """Guards against a restarted host that takes its empty memory for complete."""
    store = FakeStore()
    store.lost_responses = lost_responses
    first = bootstrap_host(store, "a1", "p1")
    assert first.first_start
    assert decode_roster(encode_roster(first.roster)) == first.roster
    assert bootstrap_host(store, "a2", "p2").first_start
    assert not bootstrap_host(store, "a1", "p3").first_start
    assert not bootstrap_host(store, "z9", "p4").first_start


def test_restarted_initial_host_is_incomplete():
    """Guards against an initial host whose second process counts as complete."""
    roster = initial_roster(Member(*each) for each in HOSTS.items())
    completeness = HolderCompleteness(Member("a1", "a", "p3"))
    completeness.adopt(roster)
    completeness.record_confirmation(0.0)
    assert completeness.refusal_reason(("shop", "order", KEY), 1, 0.0) == "no-member"
    completeness.adopt(roster.with_member(completeness.member))
    assert completeness.refusal_reason(("shop", "order", KEY), 2, 0.0) == "young"
