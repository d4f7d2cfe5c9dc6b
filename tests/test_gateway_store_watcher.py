"""The store watcher: retries, lost watches, and removals after a store outage."""

import asyncio
from random import Random

import pytest

from jacinthpath.errors import StoreUnavailable
from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.store_health import FOLLOWER_RETRY_DELAY_S
from jacinthpath.gateway.store_watcher import StoreWatcher, WatchedKeys

from .gateway_simulation import NullEventLog


@pytest.fixture
def watcher():
    view = ClusterView(NullEventLog(), lambda _content: None, lambda *_parts: None)
    backend = Backend("s", "x", "10.0.0.1:1", "a", 3, False, 0.0, 1, 5)
    view.directory.put(backend, boottime_s())
    keys = WatchedKeys("configuration", "servers/")
    return StoreWatcher(None, keys, view, None, NullEventLog(), Random(1), False)


class UnavailableStore:
    """A store that refuses every listing."""

    def __init__(self):
        self.list_times_s = []
        self.listed_thrice = asyncio.Event()

    async def list(self, _prefix):
        self.list_times_s.append(boottime_s())
        if len(self.list_times_s) == 3:
            self.listed_thrice.set()
        raise StoreUnavailable("unavailable", "")


class FollowingPeers:
    """Peers whose leader keeps this host up to date."""

    def is_following(self):
        return True


async def test_following_host_retries_an_unavailable_store_less_often(watcher):
    """Guards against needless retries: refused calls are charged too, and the leader
    sends the same configuration."""
    watcher._store, watcher._peers = UnavailableStore(), FollowingPeers()
    watcher._random.random = lambda: 0.5
    watching = asyncio.create_task(
        watcher._keep_watching("configuration", watcher._list_and_watch_configuration)
    )
    await watcher._store.listed_thrice.wait()
    watching.cancel()
    _, second_s, third_s = watcher._store.list_times_s
    assert third_s - second_s >= FOLLOWER_RETRY_DELAY_S


def simulate_outage_end(watcher):
    watcher._health._failing_since_s["servers"] = boottime_s() - 5.0
    watcher._health.record_response("servers")


class UnresponsiveStore:
    """A store that never responds to a watch."""

    def __init__(self):
        self.watched_prefixes = asyncio.Queue()

    async def watch(self, prefix, _revision, _wait_s):
        self.watched_prefixes.put_nowait(prefix)
        await asyncio.Event().wait()


async def test_watch_is_sent_again_after_a_store_outage(watcher):
    """Soak seed 212: the leader lacked a configuration for seven seconds, because the
    store had received its watch during an outage and never responded to it."""
    watcher._store, watcher._peers = UnresponsiveStore(), FollowingPeers()
    watching = asyncio.create_task(
        watcher._watch_changes("configuration", "configuration", 5)
    )
    await watcher._store.watched_prefixes.get()
    simulate_outage_end(watcher)
    async with asyncio.timeout(5.0):
        assert await watcher._store.watched_prefixes.get() == "configuration"
    watching.cancel()


def test_outage_of_this_host_alone_defers_no_removals(watcher):
    """The entry of a server that had left was kept for 2.5 s after the outage, longer
    than requests may still be sent to the server."""
    watcher._view.record_peer_store_contact(0.3)
    simulate_outage_end(watcher)
    watcher._view.remove_server("s", 6)
    assert watcher._view.directory.find("s") is None


def test_only_server_responses_refresh_the_servers_age(watcher):
    """A leader whose watch of the servers hung looked fresh because of its lease
    renewals, and the hosts that followed it did not learn of drains."""
    view = watcher._view
    watcher._health.record_response("leader")
    view.record_store_contact()
    assert view.store_age_s() < 1.0
    assert view.servers_age_s() > 1e9
    watcher._health.record_response("servers")
    assert view.servers_age_s() < 1.0


def test_removal_after_an_outage_is_deferred(watcher):
    """Entries that expire in a store outage return shortly after it."""
    simulate_outage_end(watcher)
    watcher._view.remove_server("s", 6)
    assert watcher._view.directory.find("s") is not None
