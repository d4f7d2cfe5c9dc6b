import pytest

from jacinthpath.authority import AuthorityTracker
from jacinthpath.leases import LeaseCall, LeaseResult, LeaseView, StoreLease
from jacinthpath.quorums import VouchQuorum
from jacinthpath.vouches import (
    VouchAnswer,
    VouchLedger,
    VouchRequest,
    generation_of,
    make_epoch,
    round_of,
)

OUTAGE_EPOCH = make_epoch(2, 1)
LEASE_EPOCH = make_epoch(2)


class FakeStore:
    """Lease and generation record; answers to calls in ``lost_answers`` are lost."""

    def __init__(self):
        self.revision = self.generation = 0
        self.holder = self.raised_by = ""
        self.expires = -1.0
        self.lost_answers = set()

    def call(self, call, now):
        live = self.holder if now < self.expires else ""
        outcome = "done"
        if call.kind == "acquire" and live in ("", call.identity):
            self.holder, self.expires = call.identity, now + 0.6
        elif call.kind == "raise" and self.revision == call.revision:
            self.revision += 1
            self.generation, self.raised_by = call.generation, call.identity
        elif call.kind == "renew" and live == call.identity:
            self.expires = now + 0.6
        elif call.kind != "read":
            outcome = "conflict"
        if call.kind in self.lost_answers:
            return LeaseResult("unknown")
        view = LeaseView(self.revision, self.generation, self.raised_by, live)
        return LeaseResult(outcome, view if call.kind == "read" else None)


def run_lease(lease, store, start, duration_s, *, acquire=True):
    now = start
    while now < start + duration_s:
        call = lease.next_call(now, wanted=True, acquire=acquire)
        if call is not None:
            lease.handle_result(call, store.call(call, now), now + 0.001)
        now += 0.01
    return now


def test_lease_counts_from_before_the_call():
    """Guards against authority that outlives the lease in the store."""
    lease = StoreLease("p")
    run_lease(lease, FakeStore(), 0.0, 0.5)
    assert lease.is_held(1.0)
    assert lease.next_call(1.2, wanted=True, acquire=True).kind == "read"
    assert not lease.is_held(1.2)
    lease = StoreLease("p")
    now = run_lease(lease, FakeStore(), 0.0, 0.05)
    call = None
    while call is None:
        now += 0.01
        call = lease.next_call(now, wanted=True, acquire=True)
    assert call.kind == "renew"
    lease.handle_result(call, LeaseResult("done"), now + 0.3)
    assert now + 0.58 < lease.end <= now + 0.6


@pytest.mark.parametrize("lost", ["acquire", "raise"])
def test_lost_answer_is_settled_by_reading_back(lost):
    """Guards against a second generation for a write that took effect."""
    store, lease = FakeStore(), StoreLease("p")
    run_lease(lease, store, 0.0, 0.02, acquire=False)
    store.lost_answers = {lost}
    run_lease(lease, store, 0.1, 0.05)
    assert not lease.is_held(0.15)
    store.lost_answers = set()
    run_lease(lease, store, 0.15, 0.2)
    assert lease.is_held(0.35)
    assert (lease.generation, store.generation) == (1, 1)


def test_restarted_process_does_not_take_its_earlier_lease_for_its_own():
    """Guards against two processes that act under the same lease."""
    store, lease = FakeStore(), StoreLease("p-first")
    run_lease(lease, store, 0.0, 0.02, acquire=False)
    store.lost_answers = {"raise"}
    run_lease(lease, store, 0.1, 0.02)
    assert store.generation == 1
    store.lost_answers = set()
    restarted = StoreLease("p-second")
    now = run_lease(restarted, store, 0.15, 0.4)
    assert not restarted.is_held(now)
    now = run_lease(restarted, store, now, 0.5)
    assert restarted.is_held(now)
    assert (restarted.generation, store.generation) == (2, 2)


def test_late_release_does_not_free_the_next_acquisition():
    """Guards against a duplicate release that frees the lease for a second holder."""
    store, lease = FakeStore(), StoreLease("p")
    now = run_lease(lease, store, 0.0, 0.1)
    release = lease.release(now, 0)
    store.expires = now
    now = run_lease(lease, store, now, 0.2)
    assert lease.is_held(now)
    assert release.identity != store.holder


def ask(ledger, kind, holder, epoch, now, *, reachable=False, terms_ms=0):
    request = VouchRequest(kind, "h", "preview", holder, epoch, now, terms_ms)
    return ledger.answer(request, now, store_reachable=reachable)


def test_ledger_commits_to_one_holder_in_an_outage():
    ledger = VouchLedger(started=0.0, min_uptime_s=60.0)
    assert ask(ledger, "vouch", "a", OUTAGE_EPOCH, 100.0).granted
    refused = ask(ledger, "inquire", "b", OUTAGE_EPOCH, 101.0)
    assert (refused.reason, refused.remaining_ms) == ("other-holder", 1000)
    assert ask(ledger, "inquire", "b", LEASE_EPOCH, 101.0).reason == "other-holder"
    assert ask(ledger, "inquire", "b", OUTAGE_EPOCH, 102.0).granted
    # A granted inquiry commits the host not to vouch for another holder meanwhile.
    assert ask(ledger, "vouch", "a", OUTAGE_EPOCH, 103.0).reason == "other-candidate"
    assert not ledger.may_keep("preview", "a", 103.0)


def test_ledger_lets_lease_holders_succeed_each_other_at_once():
    """Guards against a gap as long as a vouch after the loss of a lease holder."""
    ledger = VouchLedger(started=0.0)
    assert ask(ledger, "vouch", "a", make_epoch(2), 100.0).granted
    assert ask(ledger, "inquire", "b", make_epoch(2), 100.6).granted
    assert ask(ledger, "vouch", "b", make_epoch(3), 100.6).granted
    assert ask(ledger, "inquire", "c", make_epoch(3, 1), 100.7).holder == "b"
    assert ask(ledger, "vouch", "b", make_epoch(3, 1), 100.7).granted


def test_young_process_commits_to_nobody_but_a_first_coordinator():
    """Guards against a restarted process that has lost its vouches."""
    ledger = VouchLedger(started=100.0, min_uptime_s=60.0)
    assert ask(ledger, "inquire", "a", LEASE_EPOCH, 159.0).reason == "young"
    assert not ask(ledger, "vouch", "a", LEASE_EPOCH, 159.0).granted
    first_coordinator = ask(ledger, "vouch", "a", make_epoch(1), 159.0)
    assert (first_coordinator.granted, first_coordinator.reason) == (True, "young")
    assert ask(ledger, "vouch", "a", LEASE_EPOCH, 160.0).granted


def test_host_that_reaches_the_store_gives_no_vouch_for_an_outage():
    ledger = VouchLedger(started=0.0)
    reply = ask(ledger, "vouch", "a", OUTAGE_EPOCH, 100.0, reachable=True)
    assert reply.reason == "store-reachable"
    assert ask(ledger, "vouch", "a", LEASE_EPOCH, 100.0, reachable=True).granted


def test_released_terms_are_reported_to_successors():
    """Guards against a successor that ignores running terms of a released role."""
    ledger = VouchLedger(started=0.0)
    ask(ledger, "vouch", "a", LEASE_EPOCH, 100.0)
    ask(ledger, "release", "a", 0, 100.1, terms_ms=350)
    assert ask(ledger, "inquire", "b", OUTAGE_EPOCH, 100.2).remaining_ms == 250


@pytest.mark.parametrize(
    ("centres", "majority", "blocking"), [(3, 2, 2), (4, 3, 2), (5, 3, 3), (6, 4, 3)]
)
def test_quorums_of_lease_and_vouches_always_share_a_data_centre(
    centres, majority, blocking
):
    quorum = VouchQuorum([f"d{index}" for index in range(centres)], 60.0)
    assert (quorum.majority, quorum.blocking) == (majority, blocking)
    assert majority + blocking > centres
    assert majority + majority > centres


def test_delisted_host_still_has_to_commit_for_its_data_centre():
    """Guards against a host that still vouches after it left the list."""
    quorum = VouchQuorum(["d1"], 60.0)
    quorum.update_hosts({"a": "d1", "b": "d1"}, 0.0)
    quorum.update_hosts({"a": "d1"}, 10.0)
    quorum.record_commitment("a")
    assert quorum.count_committed() == 0
    quorum.update_hosts({"a": "d1"}, 70.0)
    assert quorum.count_committed() == 1


def candidate(**fields):
    tracker = AuthorityTracker("preview", "p", ["d1", "d2", "d3", "d4"], 0.0, **fields)
    tracker.update_hosts({f"h{i}": f"d{i}" for i in (1, 2, 3, 4)}, 0.0)
    return tracker


def fail_store(tracker, start):
    """Let store calls fail until a candidacy without the store starts."""
    now = start
    while True:
        now += 0.02
        requests = tracker.tick(now, 0.0)
        for request in requests:
            if isinstance(request, LeaseCall):
                tracker.handle_lease_result(request, LeaseResult("unavailable"), now)
        inquiries = [r for r in requests if isinstance(r, VouchRequest)]
        if inquiries:
            return inquiries, now


def granted(epoch=0):
    return VouchAnswer(True, "", 0, epoch, "p")


@pytest.mark.parametrize("answering", [2, 3])
def test_candidate_without_the_store_needs_a_majority_to_answer(answering):
    tracker = candidate()
    tracker.record_epoch(make_epoch(7))
    inquiries, now = fail_store(tracker, 100.0)
    assert all(round_of(request.epoch) == 1 for request in inquiries)
    for request in inquiries[:answering]:
        tracker.handle_vouch_answer(request, granted(), now + 0.001)
    for request in tracker.tick(now + 0.002, 0.0):
        if isinstance(request, VouchRequest) and request.kind == "vouch":
            tracker.handle_vouch_answer(request, granted(request.epoch), now + 0.003)
    authority = tracker.authority(now + 0.003)
    assert (authority is not None) == (answering == 3)
    if authority:
        assert authority.epoch == make_epoch(7, 1)
        assert now + 1.9 < authority.end < now + 2.0


def test_candidate_that_was_paused_past_its_commitments_starts_again():
    """Guards against vouches collected after the commitments have ended."""
    tracker = candidate()
    tracker.record_epoch(make_epoch(7))
    inquiries, now = fail_store(tracker, 100.0)
    for request in inquiries:
        tracker.handle_vouch_answer(request, granted(), now + 0.001)
    vouches = tracker.tick(now + 0.002, 0.0)
    for request in vouches:
        if isinstance(request, VouchRequest):
            tracker.handle_vouch_answer(request, granted(request.epoch), now + 2.5)
    assert tracker.authority(now + 2.5) is None


def test_candidate_below_the_minimum_uptime_waits():
    """Guards against a candidate that does not know recently removed hosts."""
    tracker = AuthorityTracker("preview", "p", ["d1"], 0.0, min_uptime_s=60.0)
    tracker.update_hosts({"h": "d1"}, 0.0)
    tracker.record_epoch(make_epoch(7))
    _, now = fail_store(tracker, 0.0)
    assert now >= 60.0


def test_epoch_orders_generations_before_rounds():
    assert make_epoch(3) > make_epoch(2, 9) > make_epoch(2)
    assert (generation_of(make_epoch(3, 4)), round_of(make_epoch(3, 4))) == (3, 4)
