"""The system under test: gateways as processes, behind proxies, on loopback."""

from __future__ import annotations

__all__ = ["GRACE_S", "VERSION_PREFIX", "Gateway", "System"]

import asyncio
import os
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from standins.loopback import address_block
from standins.platform_documents import (
    CONFIGURATION_KEY,
    SETTINGS,
    configuration,
    route,
)
from standins.platform_server import PlatformServerStandIn
from standins.platform_store import PlatformStoreStandIn

from .proxy import Proxy

PROGRAM = Path(__file__).parent.parent / "deploy" / "jacinthpath.py"
SERVICES = {"plain": False, "keys": True}
GRACE_S = 6.0
VERSION_PREFIX = "/version-"
ROUTE_TIMEOUT = "1500ms"


class Gateway:
    """One gateway process and its way to the store."""

    def __init__(self, index: int, folder: Path, store: PlatformStoreStandIn) -> None:
        self.name = f"g{index}"
        self.ip = f"{address_block()}.{index + 1}"
        self.front_port, self.ready_port, self.peer_port = _free_ports(self.ip, 3)
        self.to_store = Proxy(store.address)
        self.process: asyncio.subprocess.Process | None = None
        self.expected_end = True
        self.killed_after_grace = False
        self.disturbed_s = 0.0
        self.started_s = 0.0
        self.paused_until_s = 0.0
        self._folder = folder
        self._starting = asyncio.Lock()

    async def restart(self) -> None:
        """Start a process unless one runs; faults that overlap may ask for several."""
        async with self._starting:
            if not self.runs():
                await self.start()

    async def start(self) -> None:
        """Start a process."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(self._settings())
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                env={**os.environ, "JACINTHPATH_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self.expected_end = False
        self.started_s = time.monotonic()
        self.disturbed()

    def _settings(self) -> str:
        return SETTINGS.format(
            name=self.name,
            ip=self.ip,
            front_port=self.front_port,
            ready_port=self.ready_port,
            peer_port=self.peer_port,
            store=self.to_store.address,
        )

    def disturbed(self) -> None:
        """Note a fault of this host, for promises that hold in calm only."""
        self.disturbed_s = time.monotonic()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        self.disturbed()
        if number is signal.SIGTERM:
            self.expected_end = True
        if self.runs():
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def runs(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def exited_by_itself(self) -> bool:
        """Return whether the process has ended without a signal of the soak."""
        return self.process is not None and not self.runs() and not self.expected_end

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.expected_end = True
        if self.runs():
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class System:
    """Store, servers and gateways of one run."""

    def __init__(self, folder: Path, random: Random) -> None:
        self.folder = folder
        self.random = random
        self.store = PlatformStoreStandIn("127.0.0.1:0")
        self.servers: dict[str, PlatformServerStandIn] = {}
        self.proxies: dict[str, Proxy] = {}
        self.gateways: list[Gateway] = []
        self.version = 1
        self.version_acked_s = 0.0
        self.disturbed_s = 0.0
        self.draining_s: dict[str, float] = {}

    async def start(self, hosts: int, servers: int) -> None:
        """Start everything; ``servers`` of each service."""
        await self.store.start()
        self.configure()
        for service, keyed in SERVICES.items():
            for index in range(servers):
                await self._add_server(f"{service}-{index}", service, keyed)
        for index in range(hosts):
            self.gateways.append(Gateway(index, self.folder, self.store))
        for gateway in self.gateways:
            await gateway.to_store.start()
            await gateway.start()

    async def close(self) -> None:
        """End all processes and close the stand-ins."""
        for gateway in self.gateways:
            await gateway.end()
            await gateway.to_store.close()
        for proxy in self.proxies.values():
            await proxy.close()
        for server in self.servers.values():
            await server.close()
        await self.store.close()

    def configure(self) -> None:
        """Write the next configuration; each version adds a route of its own."""
        self.version += 1
        content = configuration(self.version, self._routes(), max_connections=200)
        self.store.put(CONFIGURATION_KEY, content)
        self.version_acked_s = time.monotonic()

    def disturbed(self) -> None:
        """Note a fault of the store, which concerns all hosts."""
        self.disturbed_s = time.monotonic()

    def put_entry(self, name: str, state: str = "ready") -> None:
        """Write a server's entry, which names its proxy."""
        server = self.servers[name]
        direct = server.address
        server.address = self.proxies[name].address
        self.store.put(f"servers/{name}", server.entry(state))
        server.address = direct
        if state == "draining":
            self.draining_s[name] = time.monotonic()
        else:
            self.draining_s.pop(name, None)

    def _routes(self) -> list[list[Any]]:
        """Return the routes, among them one of each version so far."""
        rows = [
            ("read", "/read/", "plain", "idempotent"),
            ("order", "/order/", "plain", "non_idempotent"),
            ("keyed", "/keyed/", "keys", "idempotent"),
            *(
                (f"v{number}", f"{VERSION_PREFIX}{number}/", "plain", "idempotent")
                for number in range(2, self.version + 1)
            ),
        ]
        return [route(*row, timeout=ROUTE_TIMEOUT) for row in rows]

    async def _add_server(self, name: str, service: str, keyed: bool) -> None:
        server = PlatformServerStandIn(name, service, keyed)
        await server.start()
        self.servers[name] = server
        self.proxies[name] = Proxy(server.address)
        await self.proxies[name].start()
        self.put_entry(name)


def _free_ports(ip: str, count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
