"""Stand-ins and control processes for the configuration dissemination benchmarks."""

from __future__ import annotations

__all__ = ["GossipFleet"]

import asyncio
import time
from typing import Any

from jacinthpath.changes import ConfigurationClient
from jacinthpath.errors import PeerError
from jacinthpath.operator_connections import PeerControlClient

from .fleet import Fleet, Process

# Starting a process takes one CPU second, and a start may take at most 20 s.
MAX_PARALLEL_STARTS = 4

DOCUMENT = """\
[templates.standard.services.preview]
keyed = true
deadline_ms = {number}
endpoints = [{{ server = "p1", address = "127.0.0.1:80" }}]

[accounts.school]
template = "standard"
"""


class GossipFleet(Fleet):
    """Control processes that only disseminate the configuration.

    :param naive: every process polls the store instead.
    """

    def __init__(self, directory: Any, hosts: int, naive: bool = False) -> None:
        super().__init__(directory, (), hosts=hosts)
        self.naive = naive
        self._start_limit = asyncio.Semaphore(MAX_PARALLEL_STARTS)
        self.changes: ConfigurationClient | None = None
        self.client: PeerControlClient | None = None

    async def apply(self, content: str) -> int:
        """Apply a document on top of the newest version."""
        self.changes = self.changes or ConfigurationClient(self.store)
        content = content or DOCUMENT.format(number=1)
        parent = (await self.changes.read()).entry.version
        return (await self.changes.apply(content, "bench", parent)).entry.version

    async def apply_numbered_change(self, number: int) -> tuple[int, float]:
        """Apply one change; return its version and the time of its acceptance."""
        version = await self.apply(DOCUMENT.format(number=number))
        return version, time.time()

    def configuration(self, **accounts: str) -> str:
        """Return an empty text, for which :meth:`apply` uses the first document."""
        return ""

    async def start_control(self, index: int) -> Process:
        """Start one control process and add it to the host list."""
        store = self.processes["kv"].addresses["address"]
        hosts = self.processes["hostlist"].addresses["address"]
        arguments = ["--host", f"host-{index}"]
        arguments += ["--data-centre", self._data_centre_name(index)]
        arguments += ["--store", f"http://{store}", "--hosts", f"http://{hosts}/"]
        arguments += ["--key", str(self.directory / "cluster.key")]
        arguments += ["--naive"] if self.naive else []
        async with self._start_limit:
            process = await self.spawn(
                f"control-{index}", "bench.gossip_process", *arguments
            )
        await self.list_hosts()
        return process

    async def start_entry(self, index: int, settings: str = "") -> Process | None:
        """Start nothing; the benchmarks need only control processes."""
        return None

    async def read_statuses(self) -> dict[str, dict[str, Any]]:
        """Return the status of each process that responds, by its name."""
        if self.client is None:
            key = str(self.directory / "cluster.key")
            self.client = PeerControlClient((), key)
        statuses_by_name = {}
        for process in self.controls:
            address = process.addresses["peer_address"]
            try:
                statuses_by_name[process.name] = await self.client.read_status(address)
            except PeerError:
                continue
        return statuses_by_name

    async def wait_until_converged(self, timeout_s: float = 60.0) -> None:
        """Wait until all processes know each other and the configuration."""
        async with asyncio.timeout(timeout_s):
            while True:
                statuses = await self.read_statuses()
                known_versions = [
                    status["configuration_version"] or status["reached_s"]
                    for status in statuses.values()
                    if self.naive or status["members"] == self.host_count - 1
                ]
                if len(known_versions) == self.host_count and all(known_versions):
                    return
                await asyncio.sleep(0.1)

    async def __aexit__(self, *exc: object) -> None:
        if self.client is not None:
            await self.client.close()
        await super().__aexit__(*exc)
