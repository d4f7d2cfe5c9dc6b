"""Stand-ins and control processes of the measures of the spread."""

from __future__ import annotations

__all__ = ["GossipFleet"]

import asyncio
import time
from typing import Any

from jacinthpath.changes import ConfigurationClient
from jacinthpath.errors import PeerError
from jacinthpath.operator_connections import PeerControlClient

from .fleet import Fleet, Process

# A process needs a second of a core to start, and a start may take 20 s.
PARALLEL_STARTS = 4

DOCUMENT = """\
[templates.standard.services.preview]
keyed = true
deadline_ms = {number}
endpoints = [{{ server = "p1", address = "127.0.0.1:80" }}]

[accounts.school]
template = "standard"
"""


class GossipFleet(Fleet):
    """Control processes that only spread the configuration.

    :param naive: let every process poll the store instead.
    """

    def __init__(self, directory: Any, hosts: int, naive: bool = False) -> None:
        super().__init__(directory, (), hosts=hosts)
        self.naive = naive
        self._starts = asyncio.Semaphore(PARALLEL_STARTS)
        self.changes: ConfigurationClient | None = None
        self.client: PeerControlClient | None = None

    async def apply(self, content: str) -> int:
        """Apply a document on the newest version."""
        self.changes = self.changes or ConfigurationClient(self.store)
        content = content or DOCUMENT.format(number=1)
        parent = (await self.changes.read()).entry.version
        return (await self.changes.apply(content, "bench", parent)).entry.version

    async def change(self, number: int) -> tuple[int, float]:
        """Apply one change; return its version and when it was accepted."""
        version = await self.apply(DOCUMENT.format(number=number))
        return version, time.time()

    def configuration(self, **accounts: str) -> str:
        """Return the first document."""
        return ""

    async def start_control(self, index: int) -> Process:
        """Start one control process and list it."""
        store = self.processes["kv"].addresses["address"]
        hosts = self.processes["hostlist"].addresses["address"]
        arguments = ["--host", f"host-{index}"]
        arguments += ["--data-centre", self._data_centre(index)]
        arguments += ["--store", f"http://{store}", "--hosts", f"http://{hosts}/"]
        arguments += ["--key", str(self.directory / "cluster.key")]
        arguments += ["--naive"] if self.naive else []
        async with self._starts:
            process = await self.spawn(
                f"control-{index}", "bench.gossip_process", *arguments
            )
        await self.list_hosts()
        return process

    async def start_entry(self, index: int, settings: str = "") -> Process | None:
        """Start nothing: the measures are about control processes."""
        return None

    async def statuses(self) -> dict[str, dict[str, Any]]:
        """Return the status of each process that answers, by its name."""
        if self.client is None:
            key = str(self.directory / "cluster.key")
            self.client = PeerControlClient((), key)
        found = {}
        for process in self.controls:
            address = process.addresses["peer_address"]
            try:
                found[process.name] = await self.client.read_status(address)
            except PeerError:
                continue
        return found

    async def wait_members(self, timeout_s: float = 60.0) -> None:
        """Return when all processes know each other and the configuration."""
        async with asyncio.timeout(timeout_s):
            while True:
                statuses = await self.statuses()
                known = [
                    status["configuration_version"] or status["reached_s"]
                    for status in statuses.values()
                    if self.naive or status["members"] == self.host_count - 1
                ]
                if len(known) == self.host_count and all(known):
                    return
                await asyncio.sleep(0.1)

    async def __aexit__(self, *exc: object) -> None:
        if self.client is not None:
            await self.client.close()
        await super().__aexit__(*exc)
