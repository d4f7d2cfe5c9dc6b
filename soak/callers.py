"""Callers of the gateways: they keep connections open until a process is gone."""

from __future__ import annotations

__all__ = ["Callers"]

import asyncio
import time

import aiohttp

from jacinthpath.http_sessions import disable_retries
from standins.platform_documents import HOST

from .promises import CALM_S, SCHEDULING_S, Answered, Promises
from .system import VERSION_PREFIX, Gateway, System

WORKERS = 3
PAUSE_S = 0.03
BUDGET_MS = 1_500
KINDS = ["read", "order", "keyed", "keyed"]
HOT_KEYS = 4
CONFIGURE_S = 2.0
RECOVERY_S = 15.0
CONNECT_S = 0.5
CALLER_TIMEOUT_S = 4.0


class Callers:
    """Sends requests to all gateways and checks what comes back."""

    def __init__(self, system: System, promises: Promises) -> None:
        self._system = system
        self._promises = promises
        self._sent = 0
        self._tasks: list[asyncio.Task[None]] = []
        session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(CALLER_TIMEOUT_S, sock_connect=CONNECT_S),
            connector=aiohttp.TCPConnector(limit=0),
        )
        self._session = disable_retries(session)

    def start(self) -> None:
        """Begin to send."""
        for gateway in self._system.gateways:
            for _ in range(WORKERS):
                self._tasks.append(asyncio.create_task(self._work(gateway)))
            self._tasks.append(asyncio.create_task(self._probe_version(gateway)))

    async def close(self) -> None:
        """Stop sending."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def recovered(self) -> bool:
        """Return whether every host serves all kinds again within the bound."""
        until_s = time.monotonic() + RECOVERY_S
        while time.monotonic() < until_s:
            answers = [
                await self._send(gateway, kind, key)
                for gateway in self._system.gateways
                for kind, key in (
                    ("read", 0),
                    ("order", 0),
                    ("keyed", 7),
                    ("keyed", 60_000),
                )
            ]
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def _work(self, gateway: Gateway) -> None:
        random = self._system.random
        while True:
            kind = random.choice(KINDS)
            hot = random.random() < 0.4
            key = random.randrange(HOT_KEYS) if hot else random.randrange(65_536)
            await self._send(gateway, kind, key)
            await asyncio.sleep(PAUSE_S * 2 * random.random())

    async def _send(self, gateway: Gateway, kind: str, key: int) -> Answered:
        self._sent += 1
        request = f"{kind}-{self._sent}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request,
            "X-Request-Deadline-Ms": str(BUDGET_MS),
        }
        if kind == "keyed":
            headers["X-Shard-Key"] = str(key)
        url = f"http://{gateway.ip}:{gateway.front_port}/{kind}/x"
        status, body, own = 0, b"", False
        try:
            async with self._session.get(url, headers=headers) as response:
                body = await response.read()
                status = response.status
                own = "X-Server-Signature" not in response.headers
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        answer = Answered(request, kind, gateway.name, status, body, own)
        self._promises.answered(answer)
        return answer

    async def _probe_version(self, gateway: Gateway) -> None:
        """Check that configurations come into force in time and never go back."""
        seen, life = 0, None
        while True:
            await asyncio.sleep(0.2)
            version = self._system.version
            asked_s = time.monotonic()
            acked_s = self._system.version_acked_s
            process = gateway.process
            status = await self._status(gateway, f"{VERSION_PREFIX}{version}/x")
            if gateway.process is not process:
                continue
            if life is not process:
                seen, life = 0, process
            # Other answers do not tell whether the version is in force: a host that
            # has none yet answers 503.
            if status == 200:
                seen = version
            elif status == 404:
                self._check_version(gateway, version, seen, asked_s, acked_s)

    def _check_version(
        self, gateway: Gateway, version: int, seen: int, asked_s: float, acked_s: float
    ) -> None:
        if version == seen:
            self._promises.fail("configuration", f"{gateway.name} went back: {version}")
        disturbed_s = max(self._system.disturbed_s, gateway.disturbed_s)
        due_s = max(acked_s + CONFIGURE_S, disturbed_s + CALM_S) + SCHEDULING_S
        if asked_s > due_s:
            late_s = asked_s - acked_s
            self._promises.fail(
                "configuration", f"{gateway.name} lacks {version} after {late_s:.2f} s"
            )

    async def _status(self, gateway: Gateway, path: str) -> int:
        url = f"http://{gateway.ip}:{gateway.front_port}{path}"
        headers = {"Host": HOST, "X-Request-Deadline-Ms": "500"}
        try:
            async with self._session.get(url, headers=headers) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
