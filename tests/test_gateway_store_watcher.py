"""What a host makes of removed entries after it could not reach the store."""

import asyncio
from random import Random

import pytest

from jacinthpath.errors import StoreUnavailable
from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.store_health import RETRY_FOLLOWING_S
from jacinthpath.gateway.store_watcher import StoreWatcher, WatchedKeys

from .gateway_simulation import NullEventLog


@pytest.fixture
def watcher():
    view = ClusterView(NullEventLog(), lambda _content: None, lambda *_parts: None)
    backend = Backend("s", "x", "10.0.0.1:1", "a", 3, False, 0.0, 1, 5)
    view.directory.put(backend, boottime_s())
    keys = WatchedKeys("configuration", "servers/")
    return StoreWatcher(None, keys, view, None, NullEventLog(), Random(1), False)


class AwayStore:
    """A store that turns this host away."""

    def __init__(self):
        self.asked_s = []
        self.asked_thrice = asyncio.Event()

    async def list(self, _prefix):
        self.asked_s.append(boottime_s())
        if len(self.asked_s) == 3:
            self.asked_thrice.set()
        raise StoreUnavailable("away", "")


class LeaderAnswers:
    """Peers of which the leader keeps this host up to date."""

    def is_following(self):
        return True


async def test_a_host_that_follows_asks_a_store_that_turns_it_away_less(watcher):
    """Refused calls are paid for, and the leader gives the same news."""
    watcher._store, watcher._peers = AwayStore(), LeaderAnswers()
    watcher._random.random = lambda: 0.5
    following = asyncio.create_task(
        watcher._follow("configuration", watcher._read_configuration)
    )
    await watcher._store.asked_thrice.wait()
    following.cancel()
    _, second_s, third_s = watcher._store.asked_s
    assert third_s - second_s >= RETRY_FOLLOWING_S


def lose_and_regain(watcher):
    watcher._contact._failing["servers"] = boottime_s() - 5.0
    watcher._contact.answered("servers")


class SilentStore:
    """A store that answers no watch."""

    def __init__(self):
        self.watched = asyncio.Queue()

    async def watch(self, prefix, _revision, _wait_s):
        self.watched.put_nowait(prefix)
        await asyncio.Event().wait()


async def test_a_watch_is_sent_again_when_the_store_is_back(watcher):
    """Soak seed 212: the leader lacked a configuration for seven seconds, since the
    store had taken its watch while it was silent and never answered it."""
    watcher._store, watcher._peers = SilentStore(), LeaderAnswers()
    watching = asyncio.create_task(watcher._watch("configuration", "configuration", 5))
    await watcher._store.watched.get()
    lose_and_regain(watcher)
    async with asyncio.timeout(5.0):
        assert await watcher._store.watched.get() == "configuration"
    watching.cancel()


def test_a_cut_that_peers_did_not_share_raises_no_doubt(watcher):
    """The entry of a server that had left was kept for 2.5 s after the cut, longer
    than the time for which the server may still be sent to."""
    watcher._view.record_peer_contact(0.3)
    lose_and_regain(watcher)
    watcher._view.remove_server("s", 6)
    assert watcher._view.directory.find("s") is None


def test_news_of_the_store_say_nothing_of_the_servers(watcher):
    """A leader whose watch of the servers hung seemed fresh by its lease renewals, and
    the hosts that followed it did not learn of drains."""
    view = watcher._view
    watcher._contact.answered("leader")
    view.record_store_contact()
    assert view.store_age_s() < 1.0
    assert view.servers_age_s() > 1e9
    watcher._contact.answered("servers")
    assert view.servers_age_s() < 1.0


def test_after_an_outage_a_missing_entry_is_doubted_first(watcher):
    """Entries that lapse in an outage are back shortly after it."""
    lose_and_regain(watcher)
    watcher._view.remove_server("s", 6)
    assert watcher._view.directory.find("s") is not None
