"""Record ledger, quorum and founding, one rule at a time."""

import pytest
from hypothesis import given, settings, strategies as st

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
    Founding,
    Member,
    StoreReply,
    choose_holders,
    decode_roster,
    encode_roster,
    founding_roster,
)
from jacinthpath.record_standing import HolderStanding
from jacinthpath.records import RecordLedger

from .record_fleet import HOSTS, Fleet

KEY = "k1"


def claims_in(fleet, order):
    """Deliver the claims in the bag so that each reaches its holder in this order."""
    names = {each.entry[0]: each for each in fleet.requests}
    for name, host in order:
        claim = names[name].claim
        at = [each[:3] for each in fleet.messages].index(("claim", host, claim))
        fleet.deliver(at)


@pytest.mark.parametrize(
    "order",
    [
        [("e0", "a1"), ("e1", "c1"), ("e2", "b1")],
        [("e0", "a1"), ("e1", "c1"), ("e1", "b1")],
        [("e1", "a1"), ("e0", "c1"), ("e0", "b1"), ("e2", "b1")],
    ],
)
def test_split_claims_end_with_one_send(order):
    """Guards against claimants that both win, or that block each other for ever."""
    fleet = Fleet()
    requests = [fleet.start(name, KEY) for name in ("e0", "e1", "e2")]
    claims_in(fleet, order)
    for _ in range(10):
        fleet.deliver_all(shuffle=True)
        fleet.pass_time(0.3)
    assert [each.status for each in requests].count("held") == 1
    assert {state for _, state in fleet.told} == {RUNNING}


def test_withdrawn_claim_lets_the_caller_try_again():
    """Guards against a refusal by the endpoint that blocks the key."""
    fleet = Fleet()
    assert fleet.run("e0", KEY, "refused") == ("told", NEW)
    late = fleet.requests[0].claim
    assert fleet.holders["a1"].ledger.claim(late, fleet.now).reason == "withdrawn"
    assert fleet.run("e1", KEY) == ("done", "")


def test_outcome_is_unknown_after_the_deadline_of_a_dead_entry():
    """Guards against a record that stays "running" when nobody will settle it."""
    fleet = Fleet()
    fleet.run("e0", KEY, "lost")
    fleet.kill_entry("e0")
    fleet.pass_time(61.0)
    assert fleet.run("e1", KEY) == ("told", UNKNOWN)


def test_records_are_complete_again_after_two_lost_holders_and_the_retention():
    """Guards against keys that stay refused for ever after a double failure."""
    fleet = Fleet()
    for host in choose_holders("shop", "order", KEY, HOSTS)[:2]:
        fleet.restart(host)
    fleet.converge()
    assert fleet.run("e0", KEY) == ("told", CANNOT_TELL)
    fleet.pass_time(721.0)
    fleet.converge()
    assert fleet.run("e0", KEY) == ("done", "")


def ledger(**limits):
    fleet = Fleet()
    holder = fleet.holders["a1"]
    return RecordLedger(holder.standing, **limits), fleet.now


def claim(number=1, digest=b"d", key=KEY):
    return Claim("shop", "order", key, digest, "e0", number, 10.0, 1)


def test_full_ledger_refuses_and_forgets_nothing():
    """Guards against a record that is dropped to make room for another."""
    records, now = ledger(max_records=2)
    for key in ("k1", "k2"):
        assert records.claim(claim(1, key=key), now).state == NEW
    assert records.claim(claim(2, key="k3"), now).reason == "full"
    assert records.claim(claim(2), now).state == RUNNING
    assert records.claim(claim(2, key="k3"), now + 661.0).reason == "unconfirmed"
    records.standing.confirm(now + 661.0)
    assert records.claim(claim(2, key="k3"), now + 661.0).state == NEW
    assert len(records) == 1


def test_bytes_limit_drops_bodies_before_records():
    """Guards against a settle that fails, or a body that exceeds the memory."""
    records, now = ledger(max_bytes=3_500)
    for key in ("k1", "k2"):
        records.claim(claim(key=key), now)
        response = KeptResponse(200, (), b"x" * 1_000)
        records.settle(claim(key=key), SETTLED, response, now)
    answers = [records.claim(claim(2, key=key), now) for key in ("k1", "k2")]
    assert [each.state for each in answers] == [SETTLED, SETTLED]
    assert [each.response.body_kept for each in answers] == [True, False]
    assert records.bytes_used <= 3_500


def test_same_key_with_another_request_is_a_mismatch():
    """Guards against the response to another request."""
    records, now = ledger()
    records.claim(claim(), now)
    assert records.claim(claim(2, b"other"), now).state == MISMATCH
    assert records.lookup(claim(2), now).state == RUNNING


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
    gone = sorted(hosts)[index % len(hosts)]
    rest = {host: centre for host, centre in hosts.items() if host != gone}
    after = choose_holders("a", "s", key, rest)
    assert len({*chosen} - {*after}) == (gone in chosen)


class StoreOfOne:
    """A store whose answers to writes may be lost."""

    def __init__(self):
        self.values = {}
        self.lost_answers = 0

    def call(self, call):
        if call.action == "create" and call.key not in self.values:
            self.values[call.key] = call.value
            self.lost_answers -= 1
            return StoreReply("unclear" if self.lost_answers >= 0 else "created")
        if call.action == "create":
            return StoreReply("exists")
        value = self.values.get(call.key)
        return StoreReply("absent") if value is None else StoreReply("found", value)


def found(store, host, process):
    founders = [Member(*each) for each in HOSTS.items()]
    founding = Founding(Member(host, "a", process), founders)
    while founding.next_call() is not None:
        founding.take(store.call(founding.next_call()))
    return founding


@pytest.mark.parametrize("lost_answers", [0, 1, 2])
def test_first_start_of_a_founder_answers_at_once(lost_answers):
    """Guards against a restarted founder that takes its empty memory as complete."""
    store = StoreOfOne()
    store.lost_answers = lost_answers
    first = found(store, "a1", "p1")
    assert first.first_start
    assert decode_roster(encode_roster(first.roster)) == first.roster
    assert found(store, "a2", "p2").first_start
    assert not found(store, "a1", "p3").first_start
    assert not found(store, "z9", "p4").first_start


def test_restarted_founder_is_young():
    """Guards against a founder that answers at once in its second process."""
    roster = founding_roster(Member(*each) for each in HOSTS.items())
    standing = HolderStanding(Member("a1", "a", "p3"))
    standing.adopt(roster)
    standing.confirm(0.0)
    assert standing.refusal(("shop", "order", KEY), 1, 0.0) == "no-member"
    standing.adopt(roster.with_member(standing.member))
    assert standing.refusal(("shop", "order", KEY), 2, 0.0) == "young"
