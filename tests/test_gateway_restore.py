"""A store that comes back from an older copy, in a new era."""

import asyncio
import json

import pytest

from jacinthpath.errors import StoreError
from jacinthpath.gateway.directory import ServerDirectory
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.revisions import (
    MAX_ERA,
    era_of_revision,
    make_revision,
    minimum_fence,
    store_revision_of,
)
from jacinthpath.gateway.store import (
    Condition,
    ConflictingWrite,
    HistoryLost,
    LeaseEnded,
    Write,
)
from jacinthpath.platform import PlatformStore
from standins.platform_documents import configuration, route
from standins.platform_store import PlatformStoreStandIn

from .gateway_system import ROUTES, GatewaySystem


@pytest.fixture
async def system(tmp_path):
    system = GatewaySystem(tmp_path)
    await system.start(gateways=2)
    await system.wait_until_ready()
    await asyncio.sleep(0.5)
    yield system
    await system.close()


@pytest.fixture
async def stores():
    """Yield a stand-in and a client of it."""
    stand_in = PlatformStoreStandIn("127.0.0.1:0")
    stand_in.era = 1
    await stand_in.start()
    client = PlatformStore(stand_in.address)
    await client.start()
    yield stand_in, client
    await client.close()
    await stand_in.close()


async def serve_keys(system, prefix, gateway=0):
    """Return how many of twenty keyed requests were served."""
    served = 0
    for number in range(20):
        status, _, _ = await system.send(
            "/keyed/x", f"{prefix}{number}", gateway, key=number * 3_000
        )
        served += status == 200
    return served


async def rewrite_operator_and_servers(system, content):
    """Write again what the operator and the servers wrote."""
    await asyncio.sleep(0.5)
    system.store.put("op/config", content)
    for name, server in system.servers.items():
        system.store.put(f"servers/{name}", server.entry())


async def test_hosts_go_on_after_a_restore(system):
    """All newer documents were dropped as old until the revisions had caught up."""
    copy = system.store.copy()
    content = configuration(9, [*ROUTES, route("late", "/late/", "plain")])
    system.store.put("op/config", content)
    for _number in range(200):
        system.store.put("servers/filler", b"{")
    await asyncio.sleep(0.5)
    system.store.restore(copy)
    assert await serve_keys(system, "a") == 20
    # No host returns to the older configuration of the copy.
    for gateway in (0, 1):
        assert (await system.send("/late/x", f"b{gateway}", gateway))[0] == 200
    await rewrite_operator_and_servers(system, content)
    await asyncio.sleep(3.0)
    assert await serve_keys(system, "c") == 20
    system.store.put("op/config", configuration(10, ROUTES))
    await asyncio.sleep(0.5)
    for gateway in (0, 1):
        assert (await system.send("/late/x", f"d{gateway}", gateway))[0] == 404
    leaders = [g for g in system.gateways if g._election.authority is not None]
    assert len(leaders) == 1
    record = json.loads(system.store.value("jacinthpath/assignment"))
    assert record["fence"] > minimum_fence(1)


async def test_new_host_gets_the_newer_configuration_from_its_peers(system):
    """A host that started after the restore followed the older copy."""
    copy = system.store.copy()
    content = configuration(9, [*ROUTES, route("late", "/late/", "plain")])
    system.store.put("op/config", content)
    await asyncio.sleep(0.5)
    system.store.restore(copy)
    await asyncio.sleep(3.5)
    await system.add_gateway(2)
    async with asyncio.timeout(5.0):
        while (await system.send("/late/x", "n1", gateway=2))[0] != 200:
            await asyncio.sleep(0.05)


async def test_records_of_the_hosts_are_written_again(system):
    """A restored store without the key of the peers got another one, so that hosts that
    started later could not talk to the others."""
    key = system.store.value("jacinthpath/peer-key")
    copy = system.store.copy()
    lost = {name for name in copy.items if name.startswith("jacinthpath/")}
    system.store.restore(
        copy._replace(items={k: v for k, v in copy.items.items() if k not in lost})
    )
    await asyncio.sleep(5.0)
    assert system.store.value("jacinthpath/peer-key") == key
    for gateway in system.gateways:
        assert system.store.value(f"jacinthpath/hosts/{gateway.settings.host}")


async def test_server_that_left_is_not_used_again(system):
    """The copy still lists a server that has left since it was made."""
    copy = system.store.copy()
    server = system.servers["p0"]
    system.store.put("servers/p0", server.entry("draining"))
    await asyncio.sleep(0.6)
    system.store.delete("servers/p0")
    await asyncio.sleep(0.6)
    system.store.restore(copy)
    before = len(server.executed_attempts)
    for number in range(30):
        await system.send("/read/x", f"n{number}")
        await asyncio.sleep(0.05)
    assert len(server.executed_attempts) == before


def backend(server, revision, started_ms=1, draining=False):
    return Backend(
        server, "plain", "10.0.0.1:1", "a", 3, draining, 0.0, started_ms, revision
    )


def test_entry_of_a_removed_server_counts_only_after_it_changed():
    directory = ServerDirectory()
    directory.replace_all([backend("s0", 5), backend("s1", 6)], 6, 0.0)
    directory.remove("s0", 7, 1.0)
    assert directory.find("s0") is None
    copied = [backend("s0", make_revision(1, 5)), backend("s1", make_revision(1, 6))]
    for at_s in (2.0, 3.0):
        directory.replace_all(copied, make_revision(1, 6), at_s)
        assert directory.find("s0") is None
    directory.put(backend("s0", make_revision(1, 8)), 4.0)
    assert directory.find("s0") is not None


def test_server_missing_from_the_copy_is_kept_until_it_registers_again():
    directory = ServerDirectory()
    directory.replace_all([backend("s0", 5), backend("s1", 6)], 6, 0.0)
    directory.replace_all([backend("s0", make_revision(1, 5))], make_revision(1, 5), 1)
    assert directory.find("s1") is not None
    directory.put(backend("s1", make_revision(1, 6)), 2.0)
    directory.expire(10.0)
    assert directory.find("s1") is not None


def test_draining_incarnation_stays_draining():
    """A copy or a peer that says otherwise is outdated."""
    directory = ServerDirectory()
    directory.put(backend("s0", 5, draining=True), 0.0)
    directory.put(backend("s0", make_revision(1, 4)), 1.0)
    assert directory.find("s0").draining
    directory.put(backend("s0", make_revision(1, 9), started_ms=2), 2.0)
    assert not directory.find("s0").draining


def test_later_era_is_greater_than_any_earlier_revision():
    assert make_revision(1, 1) > make_revision(0, 2**40)
    assert minimum_fence(2) > minimum_fence(1) + 2**31
    newest = make_revision(MAX_ERA, 7)
    assert (era_of_revision(newest), store_revision_of(newest)) == (MAX_ERA, 7)
    assert newest < 2**63
    assert minimum_fence(MAX_ERA) < 2**53


async def test_calls_with_revisions_of_an_earlier_era_fail(stores):
    """Revisions and lease ids are given out again, for other changes and leases."""
    stand_in, store = stores
    copy = stand_in.copy()
    revision = await store.write((), (Write("a", b"1"),))
    lease = await store.create_lease(5.0)
    stand_in.restore(copy)
    assert (await store.write((), (Write("b", b"2"),))) > revision
    await store.create_lease(5.0)
    with pytest.raises(ConflictingWrite):
        await store.write((Condition("b", revision),), (Write("b", b"3"),))
    with pytest.raises(LeaseEnded):
        await store.renew_lease(lease.lease_id)
    with pytest.raises(LeaseEnded):
        await store.write((), (Write("c", b"4", lease.lease_id),))
    with pytest.raises(HistoryLost):
        await store.watch("b", revision, 0.0)


async def test_client_that_has_not_seen_the_new_era_learns_it_from_the_response(stores):
    stand_in, store = stores
    copy = stand_in.copy()
    lease = await store.create_lease(5.0)
    listing = await store.list("a")
    stand_in.restore(copy)
    stand_in.leases[store_revision_of(lease.lease_id)] = (1e12, 5.0)
    with pytest.raises(LeaseEnded):
        await store.renew_lease(lease.lease_id)
    with pytest.raises(HistoryLost):
        await store.watch("a", listing.revision, 0.0)
    assert store.era == 2


@pytest.mark.parametrize("era", ["-1", "x", "1.5", "99999999", ""])
async def test_era_that_cannot_be_read_is_ignored_and_counted(stores, era):
    stand_in, store = stores
    await store.list("a")
    stand_in.era = era or " "
    listing = await store.list("a")
    assert era_of_revision(listing.revision) == store.era == 1
    assert store.malformed_eras == 1


async def test_era_that_goes_down_is_not_taken_back(stores):
    stand_in, store = stores
    stand_in.era = 3
    await store.list("a")
    stand_in.era = 2
    await store.list("a")
    assert store.era == 3


async def test_response_without_end_is_cut(stores, monkeypatch):
    """Guards against a store whose response exhausts the memory of a host."""
    stand_in, store = stores
    monkeypatch.setattr(
        "jacinthpath.platform.store_responses.MAX_RESPONSE_BYTES", 1_000
    )
    stand_in.put("a", b"x" * 2_000)
    with pytest.raises(StoreError):
        await store.read("a")
