"""Who is blocked when servers end, with simulated fleets of servers and requests."""

from random import Random

import pytest

from jacinthpath.gateway.crash_ledger import (
    BLOCK_S,
    CRASHES_TO_BLOCK,
    EVIDENCE_S,
    MAX_BLOCKED,
    MAX_CRASHES,
    SETTLING_S,
    AnsweredRequest,
    BlockedRequest,
    CrashLedger,
    CrashReport,
)

CAUSE = 1
STEP_S = 0.05
DURATION_S = 30.0


def ledger_with(*ends, at_s=0.0):
    """Return a ledger with ends of distinct servers, each given by its suspects."""
    ledger = CrashLedger()
    for index, suspects in enumerate(ends):
        for fingerprint in suspects:
            ledger.record(CrashReport(fingerprint, f"s{index}", 1, at_s))
    return ledger


def blocked_by(ledger, now_s=SETTLING_S):
    return {one.fingerprint for one in ledger.block_causes(now_s)}


def test_request_at_three_ends_is_blocked():
    assert blocked_by(ledger_with({1, 2}, {1, 3})) == set()
    assert blocked_by(ledger_with({1, 2}, {1, 3}, {1, 4})) == {1}


def test_more_causes_than_are_remembered_are_blocked_once_each():
    """Guards against an event loop that is held for good: blocks that had been dropped
    for others were decided again without end (review/8)."""
    groups = [set(range(first, first + 5)) for first in range(0, 320, 5)]
    ledger = ledger_with(*(group for group in groups for _ in range(CRASHES_TO_BLOCK)))
    decided = [one.fingerprint for one in ledger.block_causes(SETTLING_S)]
    assert sorted(decided) == list(range(320))
    assert len(ledger.blocked(SETTLING_S)) == MAX_BLOCKED
    assert ledger.block_causes(2 * SETTLING_S) == []
    ledger.record(CrashReport(319, "s999", 1, SETTLING_S + BLOCK_S + 1))
    again = blocked_by(ledger, 3 * SETTLING_S + BLOCK_S + 1)
    assert again == {319}


def test_ends_of_one_incarnation_count_once():
    """Guards against blocking by the reports of many hosts on one end."""
    ledger = CrashLedger()
    for _ in range(10):
        ledger.record(CrashReport(1, "s1", 5, 0.0))
    assert blocked_by(ledger) == set()


def test_requests_that_were_there_with_the_cause_are_not_blocked():
    """Guards against blocking a request that comes often while another ends servers."""
    ledger = ledger_with({1, 2}, {1, 2}, {1, 2}, {1})
    assert blocked_by(ledger) == {1}
    ledger.record(CrashReport(2, "s9", 1, SETTLING_S))
    assert blocked_by(ledger, 3.0) == set()


def test_request_that_a_server_answers_is_cleared_of_earlier_ends():
    """Guards against blocking a request that comes so often that it is at each end."""
    ledger = ledger_with({1, 2}, {1, 2})
    ledger.clear(AnsweredRequest(2, 0.1))
    for fingerprint in (1, 2):
        ledger.record(CrashReport(fingerprint, "s9", 1, 0.2))
    assert blocked_by(ledger, 0.2 + SETTLING_S) == {1}
    assert blocked_by(ledger_with({2}, {2}, {2})) == {2}


def test_end_is_judged_when_all_hosts_have_reported():
    """Guards against blocking by the reports of the host that reports first."""
    ledger = ledger_with({2}, {2}, {2})
    assert blocked_by(ledger, 0.9 * SETTLING_S) == set()
    for server in ("s0", "s1", "s2", "s3"):
        ledger.record(CrashReport(1, server, 1, 0.0))
    assert blocked_by(ledger) == {1}


def test_blocked_request_comes_back_and_is_blocked_longer_by_one_more_end():
    ledger = ledger_with({1}, {1}, {1})
    blocked_by(ledger)
    assert ledger.blocked_left_s(1, SETTLING_S) == BLOCK_S
    after_s = SETTLING_S + BLOCK_S + 1
    assert ledger.blocked_left_s(1, after_s) == 0
    ledger.record(CrashReport(1, "s9", 1, after_s))
    assert blocked_by(ledger, after_s + SETTLING_S) == {1}
    assert ledger.blocked_left_s(1, after_s + SETTLING_S) == 2 * BLOCK_S


def test_old_ends_are_forgotten():
    ledger = ledger_with({1}, {1})
    ledger.record(CrashReport(1, "s9", 1, EVIDENCE_S + 1))
    assert blocked_by(ledger, EVIDENCE_S + 2) == set()


def test_flood_of_fingerprints_is_bounded_and_blocks_nobody():
    """Guards against memory that a caller can fill, and against dropped blocks."""
    ledger = CrashLedger()
    for number in range(20 * MAX_CRASHES):
        ledger.record(CrashReport(number, f"s{number}", 1, 0.0))
    assert len(ledger._crashes) == MAX_CRASHES
    assert blocked_by(ledger) == set()
    for number in range(2 * MAX_BLOCKED):
        ledger.merge_blocked(BlockedRequest(number, 100.0, 1))
    assert len(ledger.blocked(0.0)) == MAX_BLOCKED


def test_hosts_agree_on_what_is_blocked_by_its_digest():
    one, other = CrashLedger(), CrashLedger()
    assert one.digest(0.0) == 0
    assert one.merge_blocked(BlockedRequest(7, 100.0, 1))
    assert other.merge_blocked(BlockedRequest(7, 99.9, 1))
    assert one.digest(50.0) == other.digest(50.0) != 0
    assert not one.merge_blocked(BlockedRequest(7, 200.0, 1))
    assert one.digest(100.0) == 0


class SimulatedFleet:
    """Servers with requests in flight; some end by a request, some for other causes.

    A fifth of the other requests come again and again, and all that were in flight at
    an end are sent to another server, like the cause itself.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.now_s = 0.0
        self.ledger = CrashLedger()
        self.reports = []
        self.block_seen_s = {}
        self.running = {f"s{index}": [] for index in range(8)}
        self.lives = dict.fromkeys(self.running, 1)
        self.returns_s = dict.fromkeys(self.running, 0.0)
        self.cause_ends_s = []

    def run(self):
        next_cause_s = 3.0
        while self.now_s < DURATION_S:
            self.now_s += STEP_S
            if self.now_s >= next_cause_s:
                next_cause_s += self.random.uniform(0.2, 1.5)
                self._send(CAUSE)
            for _ in range(4):
                self._send(self._other_request())
            if self.random.random() < STEP_S / 4:
                self._end(self.random.choice([*self.running]))
            self._finish_requests()
            self._deliver_reports()

    def _other_request(self):
        popular = self.random.random() < 0.2
        return self.random.randrange(2, 40 if popular else 10**9)

    def _send(self, fingerprint, retries=1):
        if fingerprint in self.block_seen_s and (
            self.now_s >= self.block_seen_s[fingerprint]
        ):
            return
        up = [s for s in self.running if self.returns_s[s] <= self.now_s]
        if not up:
            return
        server = self.random.choice(up)
        self.running[server].append((fingerprint, retries, self.now_s))
        if fingerprint == CAUSE:
            self.cause_ends_s.append(self.now_s)
            self._end(server)

    def _end(self, server):
        if self.returns_s[server] > self.now_s:
            return
        in_flight, self.running[server] = self.running[server], []
        self.returns_s[server] = self.now_s + 2.0
        for fingerprint, _, _ in in_flight:
            delay_s = self.random.uniform(0.06, 0.25)
            report = CrashReport(fingerprint, server, self.lives[server], self.now_s)
            self.reports.append((self.now_s + delay_s, report))
        self.lives[server] += 1
        for fingerprint, retries, _ in in_flight:
            if retries:
                self._send(fingerprint, retries - 1)

    def _finish_requests(self):
        for server, requests in self.running.items():
            self.running[server] = [
                one for one in requests if self.now_s - one[2] < 0.2
            ]

    def _deliver_reports(self):
        for due_s, report in [*self.reports]:
            if due_s <= self.now_s:
                self.ledger.record(report)
                self.reports.remove((due_s, report))
        for one in self.ledger.block_causes(self.now_s):
            self.block_seen_s[one.fingerprint] = self.now_s + 0.3


@pytest.mark.parametrize("seed", range(20))
def test_cause_is_blocked_and_no_other_request(seed):
    """Guards against a cause that goes on, and against rejecting innocent requests."""
    fleet = SimulatedFleet(seed)
    fleet.run()
    third_s = fleet.cause_ends_s[CRASHES_TO_BLOCK - 1]
    assert sum(at_s > third_s + 3.0 for at_s in fleet.cause_ends_s) == 0
    assert fleet.block_seen_s.keys() == {CAUSE}
