"""Many gateway processes, and how soon each of them serves a new configuration."""

import asyncio
import time
from random import Random

import aiohttp

from soak.system import VERSION_PREFIX, System
from standins.platform_documents import HOST

PROBE_INTERVAL_S = 0.1
SETTLING_S = 2.0
READY_TIMEOUT_S = 20.0
SPREAD_TIMEOUT_S = 12.0


class HostFleet:
    """Hosts behind links of their own, with a large configuration."""

    def __init__(self, log_dir, more_routes):
        self.system = System(log_dir, Random(1))
        self.system.more_routes = more_routes
        self._session = None

    async def start(self, hosts):
        """Start the hosts; return when all of them serve the configuration."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        await self.system.start(hosts, servers=1)
        times_s = await self.measure_spread(READY_TIMEOUT_S)
        assert len(times_s) == hosts, f"only {sorted(times_s)} became ready"
        await asyncio.sleep(SETTLING_S)

    async def close(self):
        await self._session.close()
        await self.system.close()

    def limit_leader_link(self, rate_bytes_per_s):
        """Limit the link of the leader's peer port; return the link."""
        link = self.system.leader().peer_proxy.link
        link.rate_bytes_per_s = rate_bytes_per_s
        return link

    async def measure_spread(self, timeout_s=SPREAD_TIMEOUT_S):
        """Return the times from the last write until each host serves its route.

        Hosts that do not serve it within ``timeout_s`` are missing.
        """
        probes = [
            self._measure_host(gateway, self.system.version, timeout_s)
            for gateway in self.system.gateways
        ]
        times_s = await asyncio.gather(*probes)
        named = zip(self.system.gateways, times_s, strict=True)
        return {gateway.name: time_s for gateway, time_s in named if time_s}

    async def _measure_host(self, gateway, version, timeout_s):
        url = f"http://{gateway.ip}:{gateway.front_port}{VERSION_PREFIX}{version}/x"
        headers = {"Host": HOST, "X-Request-Deadline-Ms": "800"}
        written_s = self.system.version_written_s
        while time.monotonic() - written_s < timeout_s:
            headers["X-Attempt-Id"] = f"read-{gateway.name}-{time.monotonic_ns()}"
            try:
                async with self._session.get(url, headers=headers) as response:
                    if response.status == 200:
                        return time.monotonic() - written_s
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(PROBE_INTERVAL_S)
        return None
