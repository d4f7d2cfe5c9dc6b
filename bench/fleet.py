"""Starts stand-ins and system processes on loopback, for tests and benchmarks."""

from __future__ import annotations

__all__ = ["Fleet", "Process", "ServiceSpec"]

import asyncio
import contextlib
import json
import os
import secrets
import signal
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from jacinthpath.changes import ConfigurationClient
from jacinthpath.http_sessions import disable_retries
from jacinthpath.store import HttpKeyValueStore

START_TIMEOUT_S = 20.0
ROOT = Path(__file__).parent.parent


class ServiceSpec(NamedTuple):
    """A service of stand-in servers.

    :param fields: additional lines of the service in the routing template.
    :param servers: number of servers.
    """

    name: str
    keyed: bool = False
    servers: int = 3
    fields: tuple[str, ...] = ()
    unchecked: bool = False
    cold_ms: int = 0


class Process:
    """One process that the fleet started.

    :param name: unique within the fleet.
    :param output: log file with its standard output and error.
    """

    def __init__(
        self, name: str, handle: asyncio.subprocess.Process, output: Path
    ) -> None:
        self.name = name
        self.handle = handle
        self.output = output
        self.addresses: dict[str, str] = {}

    @property
    def alive(self) -> bool:
        """Whether the process is still running."""
        return self.handle.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.alive:
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.signal(signal.SIGKILL)
        await self.handle.wait()

    async def terminate(self, timeout_s: float = 15.0) -> int:
        """Send SIGTERM and return the exit status."""
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(timeout_s):
            return await self.handle.wait()

    async def rss_bytes(self) -> int:
        """Return the resident memory of the process."""
        fields = Path(f"/proc/{self.handle.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        stat = Path(f"/proc/{self.handle.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Fleet:
    """Stand-ins, control processes and entry processes on loopback.

    Use it as an asynchronous context manager; exiting the context kills every
    process that it started.

    :param directory: where settings, keys and logs are written.
    :param services: services with their stand-in servers.
    :param hosts: number of hosts, each with one control and one entry process.
    :param data_centres: hosts are spread over this many data centres.
    :param store_links: each control process reaches the store through its own
        link process, ``link-N``, which SIGUSR1 cuts and SIGUSR2 restores.
    :param control_module: module that runs control processes; the naive
        baselines have their own.
    """

    def __init__(
        self,
        directory: Path,
        services: Iterable[ServiceSpec],
        hosts: int = 3,
        data_centres: int = 4,
        host_list_lag_s: float = 0.0,
        control_settings: str = "",
        log_level: str = "info",
        control_module: str = "jacinthpath",
        store_links: bool = False,
    ) -> None:
        self.directory = Path(directory)
        self.services = tuple(services)
        self.host_count = hosts
        self.data_centres = data_centres
        self.host_list_lag_s = host_list_lag_s
        self.control_settings = control_settings
        self.log_level = log_level
        self.control_module = control_module
        self.store_links = store_links
        self.processes: dict[str, Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.store: HttpKeyValueStore | None = None

    async def __aenter__(self) -> Fleet:
        self.directory.mkdir(parents=True, exist_ok=True)
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=60),
        )
        self.session = disable_retries(session)
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for process in self.processes.values():
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.handle.wait()
        if self.store is not None:
            await self.store.close()
        if self.session is not None:
            await self.session.close()

    @property
    def entries(self) -> list[Process]:
        """The running entry processes."""
        return self._find_alive("entry-")

    @property
    def controls(self) -> list[Process]:
        """The running control processes."""
        return self._find_alive("control-")

    def entry_url(self, index: int = 0) -> str:
        """Return the URL at which a running entry process accepts requests."""
        return "http://" + self.entries[index].addresses["callers_address"]

    def configuration(self, **accounts: str) -> str:
        """Return a configuration document for the services of the fleet.

        :param accounts: additional lines for accounts by name.
        """
        lines = []
        for spec in self.services:
            lines.append(f"[templates.default.services.{spec.name}]")
            lines.append(f"keyed = {str(spec.keyed).lower()}")
            if spec.unchecked:
                lines.append('fencing = "router"')
            lines += spec.fields
            for server in self._server_names(spec):
                address = self.processes[server].addresses["address"]
                lines.append(
                    f"[[templates.default.services.{spec.name}.endpoints]]\n"
                    f'server = "{server}"\naddress = "{address}"'
                )
        for account in ("school", *accounts):
            lines.append(f'[accounts.{account}]\ntemplate = "default"')
            lines.append(accounts.get(account, ""))
        return "\n".join(lines) + "\n"

    async def apply(self, content: str) -> int:
        """Apply a configuration document; return its version."""
        changes = ConfigurationClient(self.store)
        parent = (await changes.read()).entry.version
        result = await changes.apply(content, "fleet", parent)
        return result.entry.version

    async def start_control(self, index: int) -> Process:
        """Start the control process of a host and add it to the host list."""
        name = f"control-{index}"
        path = self.directory / f"{name}.toml"
        store = await self._store_address(index)
        hosts = self.processes["hostlist"].addresses["address"]
        path.write_text(
            f"{self.control_settings}\n{self._process_table(index)}"
            '[listen]\npeer_address = "127.0.0.1:0"\n'
            'admin_address = "127.0.0.1:0"\n'
            f'[platform]\nstore_url = "http://{store}"\n'
            f'host_list_url = "http://{hosts}/"\n{self._security_table()}'
        )
        process = await self.spawn(
            name, self.control_module, "control", "--settings", str(path)
        )
        await self.list_hosts()
        return process

    async def _store_address(self, index: int) -> str:
        store = self.processes["kv"].addresses["address"]
        if not self.store_links:
            return store
        link = await self.spawn(f"link-{index}", "standins.link", "--target", store)
        return link.addresses["address"]

    async def start_entry(self, index: int, settings: str = "") -> Process:
        """Start the entry process of a host.

        :param settings: additional tables for its settings file.
        """
        name = f"entry-{index}"
        path = self.directory / f"{name}.toml"
        own_control = f"control-{index}"
        ordered = sorted(self.controls, key=lambda p: p.name != own_control)
        addresses = [p.addresses["peer_address"] for p in ordered]
        path.write_text(
            f"control_addresses = {json.dumps(addresses)}\n{self._process_table(index)}"
            '[listen]\ncallers_address = "127.0.0.1:0"\n'
            f'admin_address = "127.0.0.1:0"\n{self._security_table()}{settings}'
        )
        return await self.spawn(name, "jacinthpath", "entry", "--settings", str(path))

    async def start_server(self, spec: ServiceSpec, index: int) -> Process:
        """Start one stand-in server; a restarted server keeps its address."""
        name = f"{spec.name}-{index}"
        arguments = ["--service", spec.name, "--server", name]
        arguments += ["--cold-ms", str(spec.cold_ms)]
        if spec.keyed:
            arguments.append("--keyed")
        if spec.unchecked:
            arguments.append("--unchecked")
        if name in self.processes:
            arguments += ["--address", self.processes[name].addresses["address"]]
        return await self.spawn(name, "standins.endpoint", *arguments)

    async def list_hosts(self, leaving: frozenset[str] = frozenset()) -> None:
        """Write the list of hosts whose control process is running."""
        hosts = [
            {
                "host": f"host-{index}",
                "data_centre": self._data_centre_name(index),
                "region": "r1",
                "control_address": process.addresses["peer_address"],
                "state": "leaving" if f"host-{index}" in leaving else "live",
            }
            for index, process in (
                (int(p.name.removeprefix("control-")), p) for p in self.controls
            )
        ]
        url = f"http://{self.processes['hostlist'].addresses['address']}/"
        async with self.session.put(url, json={"hosts": hosts}) as response:
            response.raise_for_status()

    async def set_faults(self, **faults: Any) -> None:
        """Set the fault switches of the key-value stand-in; no argument clears them."""
        url = f"http://{self.processes['kv'].addresses['address']}/-/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def server_stats(self, server: str) -> dict[str, Any]:
        """Return the counters of a stand-in server."""
        url = f"http://{self.processes[server].addresses['address']}/-/stats"
        async with self.session.get(url) as response:
            return await response.json()

    async def request(
        self,
        service: str,
        path: str = "/work",
        *,
        entry: int | Process = 0,
        key: str = "",
        method: str = "GET",
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request as a caller; return status, headers and body."""
        process = self.entries[entry] if isinstance(entry, int) else entry
        fields = {"jacinthpath-account": "school", **(headers or {})}
        if key:
            fields["jacinthpath-key"] = key
        url = f"http://{process.addresses['callers_address']}/{service}{path}"
        async with self.session.request(
            method, url, headers=fields, data=data
        ) as response:
            return response.status, dict(response.headers), await response.read()

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all entry processes serve every service of the fleet."""
        async with asyncio.timeout(timeout_s):
            if self.host_count > 1:
                for control in self.controls:
                    await self._wait_until_roster_known(control)
            for entry in self.entries:
                await self._wait_until_entry_ready(entry)
                for spec in self.services:
                    if spec.keyed:
                        await self._wait_until_served(entry, spec)

    async def _wait_until_entry_ready(self, entry: Process) -> None:
        url = f"http://{entry.addresses['admin_address']}/ready"
        while True:
            async with self.session.get(url) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.02)

    async def _wait_until_roster_known(self, control: Process) -> None:
        url = f"http://{control.addresses['admin_address']}/status"
        while True:
            async with self.session.get(url) as response:
                status = await response.json()
            if status["records"]["roster_version"]:
                return
            await asyncio.sleep(0.05)

    async def _wait_until_served(self, entry: Process, spec: ServiceSpec) -> None:
        for probe in range(4 * spec.servers):
            while True:
                status, _, _ = await self.request(
                    spec.name, entry=entry, key=f"probe-{probe}"
                )
                if status == 200:
                    break
                await asyncio.sleep(0.02)

    async def _start_all(self) -> None:
        (self.directory / "cluster.key").write_text(secrets.token_hex(32))
        await asyncio.gather(
            self.spawn("kv", "standins.kv"),
            self.spawn(
                "hostlist", "standins.hostlist", "--lag-s", str(self.host_list_lag_s)
            ),
            *(
                self.start_server(spec, index)
                for spec in self.services
                for index in range(spec.servers)
            ),
        )
        self.store = HttpKeyValueStore(
            "http://" + self.processes["kv"].addresses["address"], 5.0
        )
        await self.store.start()
        await self.apply(self.configuration())
        await asyncio.gather(*(self.start_control(i) for i in range(self.host_count)))
        await self.list_hosts()
        await asyncio.gather(*(self.start_entry(i) for i in range(self.host_count)))

    async def spawn(self, name: str, module: str, *arguments: str) -> Process:
        """Start a Python module and wait until it prints its addresses."""
        output = self.directory / f"{name}.log"
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        environment["PYTHONPATH"] = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
        with output.open("ab") as log:
            offset = log.tell()
            handle = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                cwd=self.directory,
                env=environment,
            )
        process = Process(name, handle, output)
        self.processes[name] = process
        async with asyncio.timeout(START_TIMEOUT_S):
            while not process.addresses:
                if not process.alive:
                    raise RuntimeError(f"{name} ended: {output.read_text()[-2000:]}")
                process.addresses = _listening_addresses(output, offset)
                await asyncio.sleep(0.01)
        return process

    def _find_alive(self, prefix: str) -> list[Process]:
        return [
            process
            for name, process in sorted(self.processes.items())
            if name.startswith(prefix) and process.alive and process.addresses
        ]

    def _server_names(self, spec: ServiceSpec) -> list[str]:
        return [f"{spec.name}-{index}" for index in range(spec.servers)]

    def _data_centre_name(self, index: int) -> str:
        return f"dc-{index % self.data_centres}"

    def _process_table(self, index: int) -> str:
        return (
            f'[process]\nhost = "host-{index}"\n'
            f'data_centre = "{self._data_centre_name(index)}"\nregion = "r1"\n'
            f"data_centres = {json.dumps(self._data_centre_names())}\n"
        )

    def _data_centre_names(self) -> list[str]:
        return sorted(
            {self._data_centre_name(index) for index in range(self.host_count)}
        )

    def _security_table(self) -> str:
        path = self.directory / "cluster.key"
        return (
            f"[security]\ncluster_key_files = [{json.dumps(str(path))}]\n"
            f'[observability]\nlog_level = "{self.log_level}"\n'
        )


def _listening_addresses(output: Path, offset: int) -> dict[str, str]:
    with contextlib.suppress(FileNotFoundError), output.open("rb") as log:
        log.seek(offset)
        for line in log.read().decode(errors="replace").splitlines():
            if "listening" in line:
                pairs = (part.partition("=") for part in line.split() if "=" in part)
                return {k: v for k, _, v in pairs if k.endswith("address")}
    return {}
