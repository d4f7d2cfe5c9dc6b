"""Permits for limited servers, simulated on a virtual clock with cuts and elections."""

from random import Random

import pytest

from jacinthpath.errors import PeerUnavailable
from jacinthpath.gateway import rate_limiter
from jacinthpath.gateway.capped_speeds import cap_speeds
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.limit_permits import MAX_RETRY_S, OwnShare, PermitIssuer
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.rate_limiter import RateLimiter
from jacinthpath.gateway.server_limits import MAX_AGE_S, LimitObservation, ServerLimits

from .gateway_simulation import NullEventLog

SERVER = Backend("s1", "plain", "10.0.0.1:80", "a", 3, False, 0.0, 5, 1)
STEP_S = 0.01
DURATION_S = 40.0
WINDOW_S = 4.0
POLL_INTERVAL_S = 0.6
VACANCY_S = 1.5


class SimulatedHost:
    """A host with a real rate limiter, and its path to the leader."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.cut_off = False
        self.counted_s = float("-inf")
        self.poll_s = fleet.now_s + POLL_INTERVAL_S * fleet.random.random()
        view = ClusterView(NullEventLog(), None, None)
        view.peer_addresses = dict.fromkeys(fleet.names, "")
        view.record_limit(
            LimitObservation("s1", 5, fleet.limit_per_s, DURATION_S), "test"
        )
        self.limiter = RateLimiter(view, self, NullEventLog(), fleet.random)

    async def request_permit(self, limit):
        issuer = self._count()
        return issuer.issue("s1", 5, limit.limit_per_s, len(self.fleet.names), self.now)

    def last_counted_s(self):
        return self.counted_s

    @property
    def now(self):
        return self.fleet.now_s

    def poll(self):
        if self.now >= self.poll_s:
            self.poll_s = self.now + POLL_INTERVAL_S
            if not self.cut_off and self.fleet.issuer is not None:
                self._count()

    def may_send(self):
        """Run the coroutine, which waits for nothing here."""
        try:
            self.limiter.acquire(SERVER).send(None)
        except StopIteration as result:
            return result.value.granted
        raise AssertionError("The rate limiter waited.")

    def _count(self):
        if self.cut_off or self.fleet.issuer is None:
            raise PeerUnavailable("cut off", "")
        self.fleet.issuer.record_host(self.name, self.now)
        self.counted_s = self.now
        return self.fleet.issuer


class SimulatedFleet:
    """Hosts with more requests for one limited server than it takes."""

    def __init__(self, seed, hosts, limit_per_s, monkeypatch):
        self.random = Random(seed)
        self.limit_per_s = limit_per_s
        self.names = [f"h{index}" for index in range(hosts)]
        self.now_s = 0.0
        monkeypatch.setattr(rate_limiter, "boottime_s", lambda: self.now_s)
        self.issuer = PermitIssuer("h0")
        self.vacant_until_s = 0.0
        self.hosts = [SimulatedHost(self, name) for name in self.names]
        self.sent_s = []

    def run(self, faults=True):
        while self.now_s < DURATION_S:
            self.now_s += STEP_S
            if faults:
                self._inject_faults()
            for host in self.hosts:
                host.poll()
            demand = STEP_S * 4 * max(self.limit_per_s, 5.0)
            while self.random.random() < demand:
                demand -= 1
                if self.random.choice(self.hosts).may_send():
                    self.sent_s.append(self.now_s)

    def most_in_window(self):
        return max(
            sum(start <= at_s < start + WINDOW_S for at_s in self.sent_s)
            for start in [0.0, *self.sent_s]
        )

    def _inject_faults(self):
        if self.random.random() < STEP_S / 5:
            share = self.random.choice([0.0, 0.1, 0.5, 1.0])
            for host in self.hosts:
                host.cut_off = self.random.random() < share
        if self.random.random() < STEP_S / 8:
            self.issuer = None
            self.vacant_until_s = self.now_s + VACANCY_S * 4 * self.random.random()
        if self.random.random() < STEP_S / 6:
            index = self.random.randrange(len(self.hosts))
            self.hosts[index] = SimulatedHost(self, self.names[index])
        if self.issuer is None and self.now_s >= self.vacant_until_s:
            self.issuer = PermitIssuer(self.random.choice(self.names))


@pytest.mark.parametrize("hosts", [9, 30, 100, 195])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 2.9, 4.8, 20.0])
def test_all_hosts_together_keep_a_limit_through_cuts_and_elections(
    hosts, limit_per_s, monkeypatch
):
    """Guards against shares that add up to more than the limit in any four seconds."""
    fleet = SimulatedFleet(
        hosts * 7 + int(limit_per_s), hosts, limit_per_s, monkeypatch
    )
    fleet.run()
    assert fleet.most_in_window() <= 1.5 * limit_per_s * WINDOW_S + 5
    assert fleet.sent_s or not limit_per_s


@pytest.mark.parametrize("hosts", [9, 195])
def test_limit_lower_than_the_number_of_hosts_is_used(hosts, monkeypatch):
    """Guards against shares of less than one request that no host can use."""
    fleet = SimulatedFleet(1, hosts, 2.9, monkeypatch)
    fleet.run(faults=False)
    assert len(fleet.sent_s) >= 0.8 * 2.9 * DURATION_S


def test_hosts_without_a_leader_use_their_own_shares(monkeypatch):
    fleet = SimulatedFleet(1, 9, 4.8, monkeypatch)
    fleet.issuer, fleet.vacant_until_s = None, DURATION_S
    fleet.run(faults=False)
    assert 0.2 * 4.8 * DURATION_S <= len(fleet.sent_s) <= 4.8 * DURATION_S


def test_leader_leaves_out_the_shares_of_hosts_that_it_does_not_hear():
    issuer = PermitIssuer("h0")
    issuer.issue("s1", 5, 10.0, 10, 0.0)
    granted = sum(
        issuer.issue("s1", 5, 10.0, 10, step * 0.05).granted for step in range(200)
    )
    assert 8 <= granted <= 11


def test_refused_callers_are_asked_to_return_one_after_the_other():
    """Guards against callers that all return for the same permit."""
    issuer = PermitIssuer("h0")
    waits = [issuer.issue("s1", 5, 4.0, 1, 10.0).retry_s for _ in range(20)]
    assert waits[:4] == pytest.approx([0.25, 0.5, 0.75, 1.0])
    assert waits[-1] == MAX_RETRY_S


def test_turns_that_were_not_used_do_not_add_up_to_a_burst():
    """Guards against a burst of as many requests as there are hosts."""
    shares = [OwnShare(Random(seed)) for seed in range(195)]
    sent = [share.take("s1", 2.9, 195, 100.0).granted for share in shares]
    assert sum(sent) <= 1.5 * 2.9 + 5


@pytest.mark.parametrize(
    ("started_ms", "limit_per_s", "observed_s", "expected"),
    [
        (5, 2.0, 11.0, 2.0),
        (5, None, 10.1, 4.0),
        (5, None, 10.5, None),
        (5, 2.0, 9.0, 4.0),
        (4, 2.0, 11.0, 4.0),
    ],
    ids=["newer", "ended-at-once", "ended", "older", "earlier-incarnation"],
)
def test_newest_observation_of_the_incarnation_holds(
    started_ms, limit_per_s, observed_s, expected
):
    limits = ServerLimits()
    limits.record(LimitObservation("s1", 5, 4.0, 10.0))
    limits.record(LimitObservation("s1", started_ms, limit_per_s, observed_s))
    found = limits.find("s1", 5, 12.0)
    assert (found and found.limit_per_s) == expected


def test_limit_ends_with_the_incarnation_and_with_its_age():
    limits = ServerLimits()
    limits.record(LimitObservation("s1", 5, 4.0, 10.0))
    assert limits.find("s1", 6, 10.0) is None
    assert limits.find("s1", 5, 10.0 + MAX_AGE_S) is not None
    assert limits.find("s1", 5, 10.1 + MAX_AGE_S) is None


def test_peers_refresh_each_other_before_a_limit_is_forgotten():
    """Guards against hosts that all forget a limit which one of them saw confirmed."""
    fresh, old = ServerLimits(), ServerLimits()
    fresh.record(LimitObservation("s1", 5, 4.0, 30.0))
    old.record(LimitObservation("s1", 5, 4.0, 10.0))
    assert fresh.digest(34.0) == old.digest(34.0) != 0
    assert fresh.digest(36.0) != old.digest(36.0)


@pytest.mark.parametrize(
    ("speeds", "limits", "rate_per_s", "expected_loads"),
    [
        ({"a": 1.0, "b": 1.0}, {}, 20.0, {"a": 10.0, "b": 10.0}),
        ({"a": 1.0, "b": 1.0}, {"a": 100.0}, 20.0, {"a": 10.0, "b": 10.0}),
        ({"a": 1.0, "b": 1.0}, {"a": 4.0}, 20.0, {"a": 2.8, "b": 17.2}),
        (
            {"a": 1.0, "b": 2.0, "c": 1.0},
            {"a": 2.0, "b": 18.0},
            28.0,
            {"a": 1.4, "b": 12.6},
        ),
        ({"a": 1.0, "b": 1.0}, {"a": 3.0, "b": 1.0}, 40.0, {"a": 30.0, "b": 10.0}),
        ({"a": 1.0, "b": 1.0}, {"a": 0.0}, 20.0, {"a": 0.0, "b": 20.0}),
        ({"a": 1.0}, {"a": 2.0}, 0.0, {"a": 0.0}),
    ],
)
def test_load_is_shared_within_the_limits(speeds, limits, rate_per_s, expected_loads):
    """Guards against keys that stay with a server that refuses their requests."""
    capped = cap_speeds(speeds, limits, rate_per_s)
    total = sum(capped.values())
    for server, load in expected_loads.items():
        assert rate_per_s * capped[server] / total == pytest.approx(load, abs=0.02)
