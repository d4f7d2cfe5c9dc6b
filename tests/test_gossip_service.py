"""Dissemination over real connections: store, relays, subscribers, refusals."""

import asyncio
import secrets

import pytest

from jacinthpath.change_values import CONFIGURATION_KEY
from jacinthpath.changes import ConfigurationClient
from jacinthpath.codec import new_frame
from jacinthpath.errors import FrameError
from jacinthpath.gossip_frames import publish_frame
from jacinthpath.gossip_service import GossipService
from jacinthpath.hosts import ListedHost
from jacinthpath.keyring import KeyRing
from jacinthpath.metrics import Metrics
from jacinthpath.peers import PeerIdentity, PeerPool, PeerServer
from jacinthpath.store import StoredValue

from .fake_store import FakeStore

DOCUMENT = """\
[templates.t.services.s]
deadline_ms = {number}
endpoints = [{{ server = "p", address = "10.0.0.1:80" }}]
"""


class WaitingStore(FakeStore):
    """Watches end when the value changes, as in the real store."""

    async def watch(self, key, after_version, wait_s):
        for _ in range(int(wait_s / 0.02)):
            value = await self.get(key)
            if value and value.version != after_version:
                return value
            await asyncio.sleep(0.02)
        return None


class FakeHostList:
    def __init__(self):
        self.hosts = []
        self.reads = 0

    async def read(self):
        self.reads += 1
        return tuple(self.hosts)


class Control:
    def __init__(self, number, keys, store, host_list):
        identity = PeerIdentity(
            f"host-{number}", f"dc-{number}", "control", secrets.token_hex(4)
        )
        self.metrics = Metrics()
        self.pool = PeerPool(identity, keys, {}, self.metrics)
        self.service = GossipService(store, host_list, self.pool, self.metrics)
        handlers = self.service.handlers()
        self.server = PeerServer(identity, "127.0.0.1:0", keys, handlers, self.metrics)

    async def stop(self):
        await self.service.stop()
        await self.server.close()
        await self.pool.close()

    @property
    def version(self):
        return self.service.node.topics.version("configuration")


@pytest.fixture
async def fleet(tmp_path):
    (tmp_path / "key").write_text(secrets.token_hex(16))
    keys, store, host_list = (
        KeyRing((str(tmp_path / "key"),)),
        WaitingStore(),
        FakeHostList(),
    )
    controls = [Control(number, keys, store, host_list) for number in range(5)]
    for control in controls:
        await control.server.start()
        identity = control.pool.identity
        host_list.hosts.append(
            ListedHost(
                identity.host, identity.data_centre, "r1", control.server.address
            )
        )
    for control in controls:
        await control.service.start()
    yield controls, store, host_list, keys
    for control in controls:
        await control.stop()


async def wait_until(condition, timeout_s=8.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def apply(store, number):
    client = ConfigurationClient(store)
    parent = (await client.read()).entry.version
    return await client.apply(DOCUMENT.format(number=number), "ana", parent)


async def test_change_reaches_all_hosts_after_the_loss_of_a_watcher(fleet):
    controls, store, _, _ = fleet
    await apply(store, 1)
    await wait_until(lambda: all(c.version == 1 for c in controls))
    await wait_until(lambda: all(not c.service.unready_reason() for c in controls))
    assert sum(c.service.node.is_watcher() for c in controls) == 3
    lost = next(c for c in controls if c.service.node.is_watcher())
    await lost.stop()
    await apply(store, 2)
    remaining = [control for control in controls if control is not lost]
    await wait_until(lambda: all(c.version == 2 for c in remaining))


async def test_damaged_value_never_comes_into_force(fleet):
    """A truncated value in the store must not make every host unready."""
    controls, store, _, _ = fleet
    await apply(store, 1)
    await wait_until(lambda: all(c.version == 1 for c in controls))
    good = store.values[CONFIGURATION_KEY]
    store.values[CONFIGURATION_KEY] = StoredValue(99, good.data[:50])
    await wait_until(
        lambda: (
            sum(c.metrics.total("configuration_damaged_total") for c in controls) >= 3
        )
    )
    assert {c.version for c in controls} == {1}
    assert not any(c.service.unready_reason() for c in controls)


async def test_entry_process_receives_topics_and_freshness(fleet):
    controls, store, _, keys = fleet
    received = asyncio.Queue()

    async def record_frame(_connection, frame):
        received.put_nowait(frame)

    handlers = {"publish": record_frame, "digest": record_frame}
    identity = PeerIdentity("host-9", "dc-0", "entry", "e")
    pool = PeerPool(identity, keys, handlers, Metrics())
    connection = await pool.connect(controls[0].server.address)
    subscribe = new_frame()
    subscribe.body.init("subscribe").role = "entry"
    await connection.request(subscribe)
    await apply(store, 1)
    kinds = set()
    async with asyncio.timeout(5):
        while kinds != {"publish", "digest"}:
            kinds.add((await received.get()).body.which())
    forged = publish_frame([("configuration", 10**6, b"{}")])
    with pytest.raises(FrameError, match="role entry"):
        await connection.request(forged)
    assert controls[0].version == 1
    await pool.close()


async def test_only_watchers_poll_the_host_list(fleet):
    """The number of calls to the platform must not grow with the fleet."""
    controls, store, host_list, _ = fleet
    await apply(store, 1)
    await wait_until(lambda: all(not c.service.unready_reason() for c in controls))
    await wait_until(lambda: all(c.service.get("hosts") for c in controls))
    await wait_until(lambda: len({c.service.get("hosts") for c in controls}) == 1)
    reads_before = host_list.reads
    await asyncio.sleep(2.5)
    assert host_list.reads - reads_before <= 6, "three watchers, each about every 2 s"
