"""Sends requests to the gateways over connections kept open until a process ends."""

from __future__ import annotations

__all__ = ["Callers"]

import asyncio
import time

import aiohttp

from jacinthpath.http_sessions import disable_retries
from standins.platform_documents import HOST

from .guarantees import (
    SCHEDULING_TOLERANCE_S,
    UNDISTURBED_S,
    CallerResponse,
    GuaranteeChecker,
)
from .system import VERSION_PREFIX, Gateway, System

WORKERS_PER_GATEWAY = 3
MEAN_PAUSE_S = 0.03
DEADLINE_MS = 1_500
REQUEST_KINDS = ["read", "order", "keyed", "keyed"]
HOT_KEYS = 4
CONFIGURATION_TIMEOUT_S = 2.0
RECOVERY_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 4.0


class Callers:
    """Sends requests to all gateways and checks the responses."""

    def __init__(self, system: System, checker: GuaranteeChecker) -> None:
        self._system = system
        self._checker = checker
        self._sent_count = 0
        self._tasks: list[asyncio.Task[None]] = []
        session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            ),
            connector=aiohttp.TCPConnector(limit=0),
        )
        self._session = disable_retries(session)

    def start(self) -> None:
        """Start the tasks that send requests."""
        for gateway in self._system.gateways:
            for _ in range(WORKERS_PER_GATEWAY):
                self._tasks.append(asyncio.create_task(self._send_requests(gateway)))
            self._tasks.append(asyncio.create_task(self._probe_version(gateway)))

    async def close(self) -> None:
        """Stop sending and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def wait_for_recovery(self) -> bool:
        """Return whether every host serves every kind of request before the timeout."""
        deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            results = [
                await self._send(gateway, kind, key)
                for gateway in self._system.gateways
                for kind, key in (
                    ("read", 0),
                    ("order", 0),
                    ("keyed", 7),
                    ("keyed", 60_000),
                )
            ]
            if all(result.status == 200 for result in results):
                return True
            await asyncio.sleep(0.2)
        return False

    async def _send_requests(self, gateway: Gateway) -> None:
        random = self._system.random
        while True:
            kind = random.choice(REQUEST_KINDS)
            hot = random.random() < 0.4
            key = random.randrange(HOT_KEYS) if hot else random.randrange(65_536)
            await self._send(gateway, kind, key)
            await asyncio.sleep(MEAN_PAUSE_S * 2 * random.random())

    async def _send(self, gateway: Gateway, kind: str, key: int) -> CallerResponse:
        self._sent_count += 1
        request_id = f"{kind}-{self._sent_count}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Request-Deadline-Ms": str(DEADLINE_MS),
        }
        if kind == "keyed":
            headers["X-Shard-Key"] = str(key)
        url = f"http://{gateway.ip}:{gateway.front_port}/{kind}/x"
        status, body, from_gateway = 0, b"", False
        try:
            async with self._session.get(url, headers=headers) as response:
                body = await response.read()
                status = response.status
                from_gateway = "X-Server-Signature" not in response.headers
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        result = CallerResponse(
            request_id, kind, gateway.name, status, body, from_gateway
        )
        self._checker.check_response(result)
        return result

    async def _probe_version(self, gateway: Gateway) -> None:
        """Check that each version is in force in time and that none is reverted."""
        seen_version, seen_process = 0, None
        while True:
            await asyncio.sleep(0.2)
            version = self._system.version
            sent_s = time.monotonic()
            written_s = self._system.version_written_s
            process = gateway.process
            status = await self._get_status(gateway, f"{VERSION_PREFIX}{version}/x")
            if gateway.process is not process:
                continue
            if seen_process is not process:
                seen_version, seen_process = 0, process
            # Any other status says nothing about the version: a host that has no
            # configuration yet returns 503.
            if status == 200:
                seen_version = version
            elif status == 404:
                self._check_version(gateway, version, seen_version, sent_s, written_s)

    def _check_version(
        self,
        gateway: Gateway,
        version: int,
        seen_version: int,
        sent_s: float,
        written_s: float,
    ) -> None:
        if version == seen_version:
            self._checker.record_violation(
                "configuration", f"{gateway.name} reverted version {version}"
            )
        if self._system.store.mode != "up":
            # The operator's write would not have been acknowledged, and no host can
            # read it. The end of the outage is a disturbance.
            return
        last_disturbance_s = max(
            self._system.last_disturbance_s, gateway.last_disturbance_s
        )
        due_s = (
            max(written_s + CONFIGURATION_TIMEOUT_S, last_disturbance_s + UNDISTURBED_S)
            + SCHEDULING_TOLERANCE_S
        )
        if sent_s > due_s:
            elapsed_s = sent_s - written_s
            self._checker.record_violation(
                "configuration",
                f"{gateway.name} lacks version {version} "
                f"{elapsed_s:.2f} s after its write",
            )

    async def _get_status(self, gateway: Gateway, path: str) -> int:
        url = f"http://{gateway.ip}:{gateway.front_port}{path}"
        headers = {"Host": HOST, "X-Request-Deadline-Ms": "500"}
        try:
            async with self._session.get(url, headers=headers) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
