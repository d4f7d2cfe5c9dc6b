"""The registry of cold servers, and the decoding of what it is filled from."""

import json
from random import Random

import pytest

from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.cold_servers import MAX_COLD_S, ColdServers
from jacinthpath.gateway.limit_permits import OwnShare
from jacinthpath.gateway.store import Item
from jacinthpath.platform import (
    IgnoredValues,
    RouteTableDecoder,
    decode_backend,
    decode_route_table,
)
from standins.platform_documents import configuration, route
from standins.platform_server import PlatformServerStandIn

from .gateway_simulation import NullEventLog

NOW_S = 100.0


def exchange(leader, follower, now_s):
    """Exchange what a report and the leader's documents carry."""
    report = follower.unreported(now_s)
    for period in report:
        leader.merge(period, now_s)
    follower.mark_reported(report)
    if leader.digest() and leader.digest() != follower.digest():
        follower.merge_all(leader.all(), now_s)


def test_server_may_become_cold_again_under_the_same_incarnation():
    """Guards against a registry that expects one cold period per incarnation."""
    cold = ColdServers()
    assert cold.observe("s", 5, 3.0, NOW_S)
    assert cold.remaining_s("s", 5, NOW_S + 1) == 2.0
    assert cold.remaining_s("s", 5, NOW_S + 4) == 0.0
    assert cold.observe("s", 5, 3.0, NOW_S + 10)
    assert cold.remaining_s("s", 5, NOW_S + 11) == 2.0
    assert cold.remaining_s("s", 6, NOW_S + 11) == 0.0


def test_digest_changes_with_a_cold_state_and_not_with_time():
    """Guards against hosts that send each other the whole set as time passes."""
    cold = ColdServers()
    cold.observe("s", 5, 3.0, NOW_S)
    digest = cold.digest()
    for elapsed_s in (0.5, 1.0, 2.9):
        cold.observe("s", 5, 3.1 - elapsed_s, NOW_S + elapsed_s)
    cold.observe("s", 5, 0.0, NOW_S + 5)
    assert cold.digest() == digest
    cold.observe("s", 5, 3.0, NOW_S + 9)
    assert cold.digest() not in (digest, 0)


def test_later_entry_ends_a_period_and_one_of_the_same_moment_does_not():
    """Guards against an outdated entry that lifts the bound."""
    cold = ColdServers()
    cold.observe("s", 5, 60.0, NOW_S)
    assert not cold.observe("s", 5, 0.0, NOW_S + 0.5)
    assert cold.observe("s", 5, 0.0, NOW_S + 3)
    assert cold.remaining_s("s", 5, NOW_S + 3) == 0.0


@pytest.mark.parametrize("left_s", [-1.0, float("nan"), float("inf"), 1e9])
def test_absurd_time_is_ignored_or_bounded(left_s):
    cold = ColdServers()
    cold.observe("s", 5, left_s, NOW_S)
    assert cold.remaining_s("s", 5, NOW_S) <= MAX_COLD_S


def test_server_that_always_claims_a_long_period_causes_few_changes():
    """Guards against a message to all hosts with each heartbeat of one server."""
    cold = ColdServers()
    changes = [cold.observe("s", 5, 600.0, NOW_S + second) for second in range(100)]
    assert sum(changes) == 1


def test_hosts_agree_after_an_exchange_with_any_leader():
    """Guards against sets that never become equal, and against lost cold states."""
    first, second, follower = ColdServers(), ColdServers(), ColdServers()
    first.observe("a", 1, 3.0, NOW_S)
    follower.observe("b", 1, 3.0, NOW_S)
    exchange(first, follower, NOW_S)
    exchange(first, follower, NOW_S)
    assert first.digest() == follower.digest()
    follower.observe("c", 1, 2.0, NOW_S)
    second.observe("d", 1, 9.0, NOW_S)
    follower.mark_all_unreported(NOW_S)
    exchange(second, follower, NOW_S)
    exchange(second, follower, NOW_S)
    assert second.digest() == follower.digest()
    for server in "abcd":
        assert second.remaining_s(server, 1, NOW_S + 1) > 0
        assert follower.remaining_s(server, 1, NOW_S + 1) > 0


def test_end_of_a_period_is_not_undone_by_an_earlier_report():
    """Guards against a server that is cold again by a report from before its end."""
    leader, follower = ColdServers(), ColdServers()
    leader.observe("a", 1, 60.0, NOW_S)
    follower.merge_all(leader.all(), NOW_S)
    late_report = follower.all()
    leader.observe("a", 1, 0.0, NOW_S + 5)
    assert not leader.merge(late_report[0], NOW_S + 5)
    follower.merge_all(leader.all(), NOW_S + 5)
    assert follower.remaining_s("a", 1, NOW_S + 5.1) == 0
    assert leader.digest() == follower.digest()


def test_own_observation_outlasts_the_older_set_of_the_leader():
    """Guards against a host that forgets what a server has just told it."""
    leader, follower = ColdServers(), ColdServers()
    for until_s in (0, 10, 20):
        leader.observe("a", 1, 2.0, NOW_S + until_s)
    follower.observe("a", 1, 3.0, NOW_S + 30)
    exchange(leader, follower, NOW_S + 30.2)
    assert follower.remaining_s("a", 1, NOW_S + 30.2) > 2
    exchange(leader, follower, NOW_S + 30.4)
    assert leader.remaining_s("a", 1, NOW_S + 30.4) > 2
    assert leader.digest() == follower.digest()


@pytest.mark.parametrize("skew_s", [0.0, 30.0])
@pytest.mark.parametrize("hosts", [1, 3, 8, 62])
def test_own_turns_of_all_hosts_stay_below_the_bound(hosts, skew_s):
    """Guards against turns that add up to a burst at one server.

    Hosts whose clocks differ have turns at random times.
    """
    random = Random(3)
    clocks_s = [skew_s * random.random() for _ in range(hosts)]
    rate_per_s = 5.4
    shares = [OwnShare(Random(seed)) for seed in range(hosts)]
    sent_s = [
        second / 100
        for second in range(6_000)
        for host, share in enumerate(shares)
        if share.take(
            "s", rate_per_s, hosts, second / 100 + clocks_s[host], host / hosts
        ).granted
    ]
    counts = [sum(at_s <= later < at_s + 1 for later in sent_s) for at_s in sent_s]
    assert max(counts) <= rate_per_s * 1.5 + (8 if skew_s else 3)
    assert 0.8 * rate_per_s <= len(sent_s) / 60 <= 1.1 * rate_per_s


def test_columns_and_entries_are_decoded():
    content = configuration(1, [route("r", "/", "plain")], warmup=("3s", 5.4))
    service = decode_route_table(content).services["plain"]
    assert (service.warmup_s, service.warmup_rate_per_s) == (3.0, 5.4)
    server = PlatformServerStandIn("p", "plain")
    server.address, server.warmup_left = "1.2.3.4:5", "1500ms"
    assert decode_backend("p", server.entry(), 1).warmup_left_s == 1.5


@pytest.mark.parametrize("bad", [-1, "many", True, [], 1e300, {}])
def test_unusable_rate_is_no_bound_and_is_logged(bad):
    """Guards against one bad value that costs a whole configuration."""
    logged = []
    ignored = IgnoredValues(lambda _event, **fields: logged.append(fields["field"]))
    content = configuration(1, [route("r", "/", "plain")], warmup=("-3s", bad))
    service = RouteTableDecoder(ignored).decode(content).services["plain"]
    assert (service.warmup_s, service.warmup_rate_per_s) == (0.0, 0.0)
    assert set(logged) == {"warmup", "warmup_per_s"}


def test_unreadable_time_of_an_entry_costs_only_itself():
    """Guards against a server that is lost because of one odd field."""
    logged = []
    ignored = IgnoredValues(lambda _event, **fields: logged.append(fields))
    server = PlatformServerStandIn("p", "plain")
    server.address = "1.2.3.4:5"
    entry = json.loads(server.entry())
    for odd in ("soon", "-3s", "9" * 400 + "s"):
        entry["status"]["warmup_left"] = odd
        backend = decode_backend("p", json.dumps(entry).encode(), 1, ignored)
        assert backend.warmup_left_s == 0.0
    assert len(logged) == 1


def test_server_that_joins_without_saying_so_counts_as_cold():
    """Guards against full load at a server that has just started.

    One of the first list, or whose entry had expired, may have started long ago.
    """
    view = ClusterView(NullEventLog(), decode_route_table, decode_backend)
    content = configuration(1, [route("r", "/", "plain")], warmup=("3s", 5.4))
    view.apply_configuration(content, 1, "test")
    server = PlatformServerStandIn("p", "plain")
    server.address = "1.2.3.4:5"

    def remaining_s():
        return view.cold_servers.remaining_s("p", server.started_ms, boottime_s())

    view.replace_servers((Item("servers/p", server.entry(), 2),), 2)
    view.remove_server("p", 3)
    view.apply_server("p", server.entry(), 4)
    assert remaining_s() == 0
    server.restart()
    view.apply_server("p", server.entry(), 5)
    assert remaining_s() > 2.5
