"""Memory of a gateway process under large responses, and under responses without end.

The gateway runs as a process of its own; the servers and the callers share this one.
The naive variant holds each response whole before it forwards it.
"""

from __future__ import annotations

__all__ = ["run_downloads", "run_endless_responses"]

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from standins.platform_documents import CONFIGURATION_KEY, configuration, route
from standins.platform_server import LARGE_BODY, PlatformServerStandIn
from standins.platform_store import PlatformStoreStandIn

from . import MEASURES, Result, print_variant

DOWNLOADS = 200
ENDLESS_CONNECTIONS = 50
ENDLESS_S = 2.0
START_TIMEOUT_S = 20.0
ROUTE_TIMEOUT = "20000ms"

HOLD_WHOLE = """
import jacinthpath.gateway.body_memory as memory
memory.MAX_HELD_BYTES = memory.MAX_HOST_BYTES = 2**40
"""
START_GATEWAY = """
import sys
from jacinthpath.daemon import run_daemon
from jacinthpath.gateway_composition import build_gateway
sys.exit(run_daemon(build_gateway(sys.argv[1])))
"""


class _Load(NamedTuple):
    """Requests that are sent at once.

    :param fault: what the servers respond with.
    :param deadline_s: how long each caller waits.
    """

    fault: str
    requests: int
    deadline_s: float


@MEASURES.register("downloads")
def run_downloads(_seed: int) -> Result:
    """Return the growth of the memory under 200 downloads of 2 MiB at once."""
    return _compare(_Load("large", DOWNLOADS, 20.0))


@MEASURES.register("endless-answers")
def run_endless_responses(_seed: int) -> Result:
    """Return the growth of the memory under 50 bodies without end."""
    return _compare(_Load("endless-body", ENDLESS_CONNECTIONS, ENDLESS_S))


def _compare(load: _Load) -> Result:
    lines = []
    for name, prelude in (("product", ""), ("naive", HOLD_WHOLE)):
        values = asyncio.run(_run_load(load, prelude))
        lines.append(print_variant(name, **values))
    return Result(
        lines[0]["memory_growth_mb"], lines[1]["memory_growth_mb"], "MB", tuple(lines)
    )


async def _run_load(load: _Load, prelude: str) -> dict[str, Any]:
    # The settings' helpers need the checkout's source on the path.
    from soak.system import Gateway

    store = PlatformStoreStandIn("127.0.0.1:0")
    server = PlatformServerStandIn("p0", "plain")
    server.fault = load.fault
    await store.start()
    await server.start()
    store.put("servers/p0", server.entry())
    routes = [
        route("d", "/d/", "plain", kind="download", timeout=ROUTE_TIMEOUT),
    ]
    store.put(CONFIGURATION_KEY, configuration(1, routes, max_connections=1_000))
    with tempfile.TemporaryDirectory() as folder:
        gateway = Gateway(0, Path(folder), store)
        await gateway.store_proxy.start()
        path = Path(folder) / "settings.toml"
        path.write_text(gateway._format_settings())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            prelude + START_GATEWAY,
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            await _wait_until_ready(gateway)
            return await _measure(load, gateway, process.pid)
        finally:
            process.kill()
            await process.wait()
            await gateway.store_proxy.close()
            await server.close()
            await store.close()


async def _measure(load: _Load, gateway: Any, process_id: int) -> dict[str, Any]:
    rest_kb = _resident_peak_kb(process_id)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        results = await asyncio.gather(
            *(
                _download(session, gateway, load, index)
                for index in range(load.requests)
            )
        )
    first_bytes_s = [first_byte_s for first_byte_s, _ in results]
    return {
        "memory_growth_mb": (_resident_peak_kb(process_id) - rest_kb) / 1024,
        "first_byte_p50_ms": statistics.median(first_bytes_s) * 1000,
        "whole": sum(content == len(LARGE_BODY) for _, content in results),
    }


async def _download(
    session: aiohttp.ClientSession, gateway: Any, load: _Load, index: int
) -> tuple[float, int]:
    """Return the time to the first byte, infinite without one, and the bytes read."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    first_byte_s = float("inf")
    size = 0
    headers = {
        "Host": "h.example",
        "X-Attempt-Id": f"d{index}",
        "X-Request-Deadline-Ms": str(int(load.deadline_s * 1000)),
    }
    try:
        url = f"http://{gateway.ip}:{gateway.front_port}/d/x"
        async with session.get(url, headers=headers) as response:
            async for part in response.content.iter_any():
                if not size:
                    first_byte_s = loop.time() - started_s
                size += len(part)
    except aiohttp.ClientError:
        # A body without end is cut at the deadline.
        return first_byte_s, size
    return first_byte_s, size


async def _wait_until_ready(gateway: Any) -> None:
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        url = f"http://{gateway.ip}:{gateway.ready_port}/-/ready"
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                # The gateway does not listen yet.
                pass
            await asyncio.sleep(0.05)


def _resident_peak_kb(process_id: int) -> int:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise ValueError("The kernel reports no peak of the resident memory.")
