"""The system under test: gateway processes on loopback, with proxies for faults."""

from __future__ import annotations

__all__ = ["CRASHING_PATH", "GRACE_PERIOD_S", "VERSION_PREFIX", "Gateway", "System"]

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import aiohttp

from standins.loopback import address_block
from standins.platform_documents import (
    CONFIGURATION_KEY,
    HOST,
    SETTINGS,
    configuration,
    route,
)
from standins.platform_server import PlatformServerStandIn
from standins.platform_store import PlatformStoreStandIn

from .proxy import Proxy
from .uploads import SLOW_PATH, UploadOutcome

PROGRAM = Path(__file__).parent.parent / "deploy" / "jacinthpath.py"
HOST_PROGRAM = Path(__file__).parent / "host_program.py"
KEYED_BY_SERVICE = {"plain": False, "keys": True}
GRACE_PERIOD_S = 6.0
LEADER_KEY = "jacinthpath/leader"
VERSION_PREFIX = "/version-"
CRASHING_PATH = "/read/crash-"
CRASH_RESPONSE_TIMEOUT_S = 2.0
ROUTE_TIMEOUT = "1500ms"
SLOW_TIMEOUT = "4000ms"
MAX_WORK_S = 2.5


class Gateway:
    """One host: its gateway process, and its proxies to the store and the servers.

    :ivar peer_proxy: leads the connections of the other hosts to this one.
    :ivar proxies_to_peers: the same of the other hosts.
    :ivar cut_mode: mode of all its paths to servers, ``pass`` unless it is cut off.
    :ivar signals: signals that were sent to its processes.
    :ivar cut_since_s: monotonic time since when it is cut off, ``None`` if it is not.
    """

    def __init__(
        self,
        index: int,
        log_dir: Path,
        store: PlatformStoreStandIn,
        program: Path = PROGRAM,
    ) -> None:
        self.name = f"g{index}"
        self.ip = f"{address_block()}.{index + 1}"
        self.front_port, self.ready_port, self.peer_port = _free_ports(self.ip, 3)
        self.store_proxy = Proxy(store.address)
        self.peer_proxy = Proxy(f"{self.ip}:{self.peer_port}")
        self.proxies_to_peers: list[Proxy] = []
        self.server_proxies: dict[str, Proxy] = {}
        self.cut_mode = "pass"
        self.cut_since_s: float | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.is_exit_expected = True
        self.killed_after_grace = False
        self.signals = 0
        self.last_disturbance_s = 0.0
        self.started_s = 0.0
        self.paused_until_s = 0.0
        self._log_dir = log_dir
        self._program = program
        self._start_lock = asyncio.Lock()

    async def restart(self) -> None:
        """Start a process unless one runs: overlapping faults may each call this."""
        async with self._start_lock:
            if not self.is_running():
                await self.start()

    async def start(self) -> None:
        """Start a process."""
        path = self._log_dir / f"{self.name}.toml"
        path.write_text(self._format_settings())
        paths = self._log_dir / f"{self.name}-paths.json"
        proxies = (*self.server_proxies.values(), *self.proxies_to_peers)
        paths.write_text(json.dumps({p.target: p.address for p in proxies}))
        with (self._log_dir / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(HOST_PROGRAM),
                str(paths),
                str(self._program),
                env={**os.environ, "JACINTHPATH_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self.is_exit_expected = False
        self.started_s = time.monotonic()
        self.record_disturbance()

    def _format_settings(self) -> str:
        return SETTINGS.format(
            name=self.name,
            ip=self.ip,
            front_port=self.front_port,
            ready_port=self.ready_port,
            peer_port=self.peer_port,
            store=self.store_proxy.address,
        )

    def cut_from_servers(self, mode: str) -> None:
        """Cut the paths to all servers off by a mode of the proxies."""
        self.cut_mode = mode
        self.cut_since_s = time.monotonic()

    def restore_paths(self) -> None:
        """Restore the paths to all servers."""
        self.cut_mode, self.cut_since_s = "pass", None

    def record_disturbance(self) -> None:
        """Record a fault of this host, which suspends guarantees with a time limit."""
        self.last_disturbance_s = time.monotonic()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        self.record_disturbance()
        self.signals += 1
        if signal_number is signal.SIGTERM:
            self.is_exit_expected = True
        if self.is_running():
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def has_exited_unexpectedly(self) -> bool:
        """Return whether the process has exited although the soak did not stop it."""
        return (
            self.process is not None
            and not self.is_running()
            and not self.is_exit_expected
        )

    async def kill(self) -> None:
        """Kill the process, also a paused one, and wait until it has exited."""
        self.signals += 1
        self.is_exit_expected = True
        if self.is_running():
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class System:
    """Store, servers, proxies and gateways of one run.

    :ivar more_routes: routes of the configuration that no caller uses.
    """

    def __init__(self, log_dir: Path, random: Random) -> None:
        self.log_dir = log_dir
        self.program = PROGRAM
        self.random = random
        self.store = PlatformStoreStandIn("127.0.0.1:0")
        self.servers: dict[str, PlatformServerStandIn] = {}
        self.server_modes: dict[str, str] = {}
        self.gateways: list[Gateway] = []
        self.version = 1
        self.more_routes = 0
        self.version_written_s = 0.0
        self.configuration_bytes = 0
        self.last_disturbance_s = 0.0
        self.draining_since_s: dict[str, float] = {}
        self.limited_since_s: dict[str, float] = {}
        self.crashing_requests = 0
        self.upload_rounds = 0
        self.upload_outcomes: list[UploadOutcome] = []

    async def start(self, hosts: int, servers: int) -> None:
        """Start the store, ``servers`` servers per service and ``hosts`` gateways."""
        await self.store.start()
        self.configure()
        for service, keyed in KEYED_BY_SERVICE.items():
            for index in range(servers):
                await self._add_server(f"{service}-{index}", service, keyed)
        for index in range(hosts):
            self.gateways.append(Gateway(index, self.log_dir, self.store, self.program))
        await self._start_peer_proxies()
        for gateway in self.gateways:
            await gateway.store_proxy.start()
            for name, server in self.servers.items():
                gateway.server_proxies[name] = Proxy(server.address)
                await gateway.server_proxies[name].start()
            await gateway.start()

    async def _start_peer_proxies(self) -> None:
        for gateway in self.gateways:
            await gateway.peer_proxy.start()
        for gateway in self.gateways:
            gateway.proxies_to_peers = [
                other.peer_proxy for other in self.gateways if other is not gateway
            ]

    async def close(self) -> None:
        """Kill all processes and close the proxies and stand-ins."""
        for gateway in self.gateways:
            await gateway.kill()
            proxies = (gateway.store_proxy, gateway.peer_proxy)
            for proxy in (*proxies, *gateway.server_proxies.values()):
                await proxy.close()
        for server in self.servers.values():
            await server.close()
        await self.store.close()

    def set_server_mode(self, name: str, mode: str) -> None:
        """Set the mode of the paths of all hosts to one server."""
        self.server_modes[name] = mode
        self.apply_path_modes()

    def apply_path_modes(self) -> None:
        """Set the modes of all paths; a host that is cut off has no other."""
        for gateway in self.gateways:
            for name, proxy in gateway.server_proxies.items():
                mode = gateway.cut_mode
                if mode == "pass":
                    mode = self.server_modes.get(name, "pass")
                if mode == "reset" and proxy.mode != mode:
                    proxy.reset()
                proxy.mode = mode

    def reset_server(self, name: str) -> None:
        """Reset the connections of all hosts to one server."""
        for gateway in self.gateways:
            gateway.server_proxies[name].reset()

    def leader(self) -> Gateway | None:
        """Return the host that the leader record names."""
        item = self.store.items.get(LEADER_KEY)
        name = json.loads(base64.b64decode(item["value"]))["host"] if item else ""
        return next((one for one in self.gateways if one.name == name), None)

    def configure(self) -> None:
        """Write the next version of the configuration; each version adds a route."""
        self.version += 1
        self._put_configuration()
        self.version_written_s = time.monotonic()

    def write_again(self) -> None:
        """Write what the operator and the servers wrote to a restored store."""
        self._put_configuration()
        for name in self.servers:
            self._put_state(
                name, "draining" if name in self.draining_since_s else "ready"
            )

    def _put_configuration(self) -> None:
        content = configuration(self.version, self._route_rows(), max_connections=200)
        self.configuration_bytes = len(content)
        self.store.put(CONFIGURATION_KEY, content)

    def record_disturbance(self) -> None:
        """Record a fault that concerns all hosts."""
        self.last_disturbance_s = time.monotonic()

    def put_entry(self, name: str, state: str = "ready") -> None:
        """Write a server's entry to the store."""
        self._put_state(name, state)
        if state == "draining":
            self.draining_since_s[name] = time.monotonic()
        else:
            self.draining_since_s.pop(name, None)

    def name_limit(self, name: str, limit: str) -> None:
        """Let a server name a limit in its responses."""
        self.servers[name].limit = limit
        self.limited_since_s[name] = time.monotonic()

    async def send_crashing_request(
        self, gateway: Gateway, path: str, request_id: str
    ) -> None:
        """Send a request that ends the servers that run it; its response is ignored."""
        url = f"http://{gateway.ip}:{gateway.front_port}{path}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Request-Deadline-Ms": "1000",
            "X-Shard-Key": "7",
        }
        timeout = aiohttp.ClientTimeout(total=CRASH_RESPONSE_TIMEOUT_S)
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, headers=headers) as response,
            ):
                await response.read()

    def end_limit(self, name: str) -> None:
        """Let a server name no limit."""
        self.servers[name].limit = ""
        self.limited_since_s.pop(name, None)

    def _put_state(self, name: str, state: str) -> None:
        self.store.put(f"servers/{name}", self.servers[name].entry(state))

    def _route_rows(self) -> list[list[Any]]:
        """Return the rows of the routes, with one route for each version so far."""
        rows = [
            ("read", "/read/", "plain", "idempotent"),
            ("order", "/order/", "plain", "non_idempotent"),
            ("keyed", "/keyed/", "keys", "idempotent"),
            ("slow", SLOW_PATH, "plain", "non_idempotent"),
            *(
                (f"v{version}", f"{VERSION_PREFIX}{version}/", "plain", "idempotent")
                for version in range(2, self.version + 1)
            ),
            *(
                (f"more-{number}", f"/more-{number}/", "plain", "idempotent")
                for number in range(self.more_routes)
            ),
        ]
        return [
            route(*row, timeout=SLOW_TIMEOUT if row[0] == "slow" else ROUTE_TIMEOUT)
            for row in rows
        ]

    async def _add_server(self, name: str, service: str, keyed: bool) -> None:
        server = PlatformServerStandIn(name, service, keyed)
        server.crashing_path = CRASHING_PATH
        server.slow_path = SLOW_PATH
        server.work_s = self.random.uniform(0.3, MAX_WORK_S)
        server.handle_return = lambda _server: self.put_entry(name)
        await server.start()
        self.servers[name] = server
        self.put_entry(name)


def _free_ports(ip: str, count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
