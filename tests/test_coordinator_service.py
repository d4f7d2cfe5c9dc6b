"""Tests of coordinators, servers and a store as real processes with signals."""

import asyncio
import contextlib
import json
import signal
import time

import aiohttp
import pytest_asyncio

from bench.fleet import Fleet, ServiceSpec

MIN_UPTIME_S = 3.0
SERVERS = 3
SLICES = 64


@pytest_asyncio.fixture
async def fleet(tmp_path):
    services = [
        ServiceSpec("preview", True, SERVERS, fields=(f"slice_count = {SLICES}",))
    ]
    async with Fleet(
        tmp_path,
        services,
        hosts=4,
        control_settings=f"vouch_min_uptime_s = {MIN_UPTIME_S}",
        store_links=True,
    ) as fleet:
        await fleet.wait_until_ready()
        # Hosts grant no inquiry below this uptime.
        await asyncio.sleep(MIN_UPTIME_S)
        yield fleet


async def coordinator(fleet):
    """Return the control process that reports that it coordinates the service."""
    while True:
        for process in fleet.controls:
            url = f"http://{process.addresses['admin_address']}/status"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                timeout = aiohttp.ClientTimeout(total=0.2)
                async with fleet.session.get(url, timeout=timeout) as response:
                    if "preview" in (await response.json())["coordinates"]:
                        return process
        await asyncio.sleep(0.02)


async def owned(fleet, names):
    """Return how many slices each of these servers may serve."""
    counts = {}
    for name in names:
        url = f"http://{fleet.processes[name].addresses['address']}/-/stats"
        async with fleet.session.get(url) as response:
            counts[name] = (await response.json())["owned_slices"]
    return counts


async def wait_until_served(fleet, names, limit_s):
    """Wait until these servers hold all slices; return the seconds that it took."""
    started = time.monotonic()
    async with asyncio.timeout(limit_s):
        while sum((await owned(fleet, names)).values()) != SLICES:
            await asyncio.sleep(0.01)
    return time.monotonic() - started


async def longest_gap(fleet, duration_s):
    """Return the longest time in seconds during which any slice had no owner."""
    longest = 0.0
    served = time.monotonic()
    until = served + duration_s
    while time.monotonic() < until:
        counts = await owned(fleet, names(*range(SERVERS)))
        now = time.monotonic()
        if sum(counts.values()) == SLICES:
            served = now
        longest = max(longest, now - served)
        await asyncio.sleep(0.005)
    return longest


def names(*indices):
    return [f"preview-{index}" for index in indices]


async def never_two_owners(fleet, stopped):
    """Check that all servers together never own more slices than exist."""
    while not stopped.is_set():
        counts = await asyncio.gather(
            *(owned(fleet, [name]) for name in names(*range(SERVERS)))
        )
        assert sum(sum(count.values()) for count in counts) <= SLICES
        await asyncio.sleep(0.01)


async def test_frozen_server_refuses_on_waking_what_has_moved(fleet):
    """Guards against renewals that waited in a socket buffer during a freeze."""
    server = fleet.processes["preview-0"]
    server.signal(signal.SIGSTOP)
    await wait_until_served(fleet, names(1, 2), 5.0)
    server.signal(signal.SIGCONT)
    counts = await owned(fleet, names(0, 1, 2))
    assert sum(counts.values()) <= SLICES
    await wait_until_served(fleet, names(0, 1, 2), 5.0)


async def test_killed_coordinator_is_succeeded(fleet):
    host = await coordinator(fleet)
    await host.kill()
    assert await coordinator(fleet) is not host
    await wait_until_served(fleet, names(0, 1, 2), 5.0)


async def test_frozen_coordinator_does_no_harm_on_waking(fleet):
    """Guards against grants and writes that a paused process sends late."""
    host = await coordinator(fleet)
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(1.5)  # The freeze itself, longer than the lease.
    await wait_until_served(fleet, names(0, 1, 2), 5.0)
    stopped = asyncio.Event()
    watching = asyncio.create_task(never_two_owners(fleet, stopped))
    host.signal(signal.SIGCONT)
    await asyncio.sleep(1.0)  # Time for late messages of the resumed process.
    stopped.set()
    await watching
    assert await coordinator(fleet) is not host


async def test_coordinator_that_stops_gracefully_leaves_no_gap(fleet):
    """Guards against a release after which no successor renews the terms."""
    host = await coordinator(fleet)
    ended = asyncio.create_task(host.terminate())
    gap_s = await longest_gap(fleet, 2.0)
    await ended
    # A successor that waited for the lease to end would take 0.4 s and more.
    assert gap_s < 0.3
    assert await coordinator(fleet) is not host


async def test_store_outage_keeps_ownership_and_survives_the_coordinator(fleet):
    await fleet.set_faults(down=True)
    assert await longest_gap(fleet, 2.0) < 0.3
    host = await coordinator(fleet)
    await host.kill()
    await asyncio.sleep(0.6)  # Until the terms of the killed process have ended.
    await wait_until_served(fleet, names(0, 1, 2), 10.0)
    await fleet.set_faults()
    await asyncio.sleep(1.0)  # Time for faults caused by the return of the store.
    await wait_until_served(fleet, names(0, 1, 2), 5.0)
    stored = await fleet.store.get("generation/preview")
    assert json.loads(stored.data)["generation"] >= 1


async def test_coordinator_that_alone_is_cut_from_the_store_keeps_its_role(fleet):
    """Guards against a takeover, and a gap, where peers still reach the store."""
    process = await coordinator(fleet)
    link = fleet.processes[process.name.replace("control", "link")]
    before = (await fleet.server_stats("preview-0"))["epoch"]
    link.signal(signal.SIGUSR1)
    gap = await longest_gap(fleet, 3.0)
    assert await coordinator(fleet) is process
    assert (await fleet.server_stats("preview-0"))["epoch"] == before
    assert gap < 0.3
    link.signal(signal.SIGUSR2)
    assert await longest_gap(fleet, 1.0) < 0.3
