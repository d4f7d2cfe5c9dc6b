"""Demonstrates the system on loopback and checks the responses that callers get."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from .fleet import Fleet, ServiceSpec

TIME_LIMIT_S = 55.0
SERVICES = (
    ServiceSpec(
        "preview",
        keyed=True,
        servers=4,
        fields=('priority = "first"', "deadline_ms = 5000"),
    ),
    ServiceSpec("publish", servers=2, fields=("idempotent = false",)),
    ServiceSpec(
        "archive",
        servers=2,
        fields=('priority = "deferrable"', "defer_limit_s = 4.0"),
    ),
)


class Demo:
    """Runs the steps of the demonstration and collects the failed checks.

    :param fleet: a running fleet with :data:`SERVICES`.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.failures: list[str] = []

    async def run(self) -> None:
        """Run all steps in order."""
        await self.fleet.wait_until_ready()
        self.print_step("three hosts and three services are running")
        await self.send_each_class()
        await self.retry_a_publish_request()
        await self.move_a_key()
        await self.kill_an_entry_process()
        await self.change_a_template()
        await self.stop_gracefully()

    def print_step(self, text: str) -> None:
        """Print one line of the demonstration."""
        print(f"demo: {text}", flush=True)

    def check(self, is_met: bool, guarantee: str) -> None:
        """Print whether a guarantee was met and record a failure."""
        self.print_step(f"{'ok    ' if is_met else 'FAILED'} {guarantee}")
        if not is_met:
            self.failures.append(guarantee)

    async def send_each_class(self) -> None:
        """Send first-class, non-idempotent and deferrable requests."""
        status, _, body = await self.fleet.request("preview", key="kichwa")
        self.print_step(
            f"preview of key kichwa: {status} from {json.loads(body)['server']}"
        )
        self.check(status == 200, "a keyed request is served by the owner of its key")
        status, _, _ = await self.fleet.request("archive", "/lookup")
        self.check(status == 200, "deferrable work completes within its time limit")
        status, headers, _ = await self.fleet.request("unknown")
        self.print_step(f"unknown service: {status} {headers['jacinthpath-error']}")
        self.check(
            headers["jacinthpath-outcome"] == "not-run",
            "a request that cannot be routed is reported as not executed",
        )

    async def retry_a_publish_request(self) -> None:
        """Send a publish request through two entry processes at once, then retry it."""
        order_headers = {"idempotency-key": "order-1"}
        responses = await asyncio.gather(
            *(
                self._publish(index, "/firmware?ms=100", order_headers)
                for index in (0, 1)
            )
        )
        responses.append(await self._publish(2, "/firmware?ms=100", order_headers))
        self.print_step(
            f"publish order-1 three times: {[status for status, _ in responses]}"
        )
        runs = await self._count_runs("order-1")
        self.check(
            runs == 1,
            f"a non-idempotent request is executed once (executed {runs} times)",
        )
        bodies = {body for status, body in responses if status == 200}
        self.check(len(bodies) == 1, "all successful responses to it are the same")

    async def move_a_key(self) -> None:
        """Drain the server that owns a key by changing the template."""
        _, _, body = await self.fleet.request("preview", key="kichwa")
        owner = json.loads(body)["server"]
        started_s = asyncio.get_running_loop().time()
        document = self.fleet.configuration().replace(
            f'server = "{owner}"', f'server = "{owner}"\nstate = "draining"'
        )
        version = await self.fleet.apply(document)
        self.print_step(f"configuration {version} drains {owner}")
        moved = False
        statuses = set()
        while asyncio.get_running_loop().time() < started_s + 5 and not moved:
            status, _, body = await self.fleet.request("preview", key="kichwa")
            statuses.add(status)
            moved = status == 200 and json.loads(body)["server"] != owner
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.check(moved, f"the key moved in {elapsed_s:.2f} s")
        self.check(statuses == {200}, "no request failed during the move")

    async def kill_an_entry_process(self) -> None:
        """Kill an entry process while a request runs, then retry the request."""
        order_headers = {"idempotency-key": "order-2"}
        victim = self.fleet.entries[0]
        first = asyncio.create_task(
            self._publish(victim, "/firmware?ms=400", order_headers)
        )
        while await self._count_runs("order-2") == 0:
            await asyncio.sleep(0.01)
        await victim.kill()
        self.print_step(f"killed {victim.name} while order-2 ran")
        await asyncio.gather(first, return_exceptions=True)
        status, body = await self._publish(0, "/firmware?ms=400", order_headers)
        outcome = json.loads(body).get("error", "answered")
        self.print_step(
            f"order-2 again through {self.fleet.entries[0].name}: {status} {outcome}"
        )
        self.check(
            await self._count_runs("order-2") == 1, "the request was not executed again"
        )
        status, _, _ = await self.fleet.request("preview", key="kichwa")
        self.check(status == 200, "other entry processes continue to serve")

    async def change_a_template(self) -> None:
        """Add a second account and wait until every host serves it."""
        started_s = asyncio.get_running_loop().time()
        version = await self.fleet.apply(self.fleet.configuration(notary=""))
        headers = {"jacinthpath-account": "notary"}
        for entry in self.fleet.entries:
            status = 0
            while status != 200:
                if asyncio.get_running_loop().time() > started_s + 7:
                    break
                status, _, _ = await self.fleet.request(
                    "publish", entry=entry, headers=headers
                )
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.check(
            elapsed_s < 7, f"configuration {version} took effect in {elapsed_s:.2f} s"
        )

    async def stop_gracefully(self) -> None:
        """Terminate an entry process while it has requests in flight."""
        entry = self.fleet.entries[0]
        pending = [
            asyncio.create_task(
                self.fleet.request("preview", "/p?ms=300", entry=entry, key=f"k{i}")
            )
            for i in range(6)
        ]
        await asyncio.sleep(0.05)
        code = await entry.terminate()
        responses = await asyncio.gather(*pending, return_exceptions=True)
        complete = sum(isinstance(a, tuple) and a[0] == 200 for a in responses)
        self.print_step(
            f"terminated {entry.name}: exit {code}, {complete} of 6 completed"
        )
        self.check(
            complete == 6 and code == 0, "a graceful stop aborts no request in flight"
        )

    async def _publish(
        self, entry: object, path: str, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        status, _, body = await self.fleet.request(
            "publish", path, entry=entry, method="POST", headers=headers, data=b"layout"
        )
        return status, body

    async def _count_runs(self, idempotency_key: str) -> int:
        runs = 0
        for index in range(2):
            stats = await self.fleet.server_stats(f"publish-{index}")
            runs += sum(
                run["idempotency_key"] == idempotency_key for run in stats["runs"]
            )
        return runs


async def _main() -> int:
    with tempfile.TemporaryDirectory() as directory:
        async with asyncio.timeout(TIME_LIMIT_S):
            async with Fleet(Path(directory), SERVICES, hosts=3) as fleet:
                demo = Demo(fleet)
                await demo.run()
    if demo.failures:
        demo.print_step(f"{len(demo.failures)} guarantees were not met")
        return 1
    demo.print_step("every guarantee was met")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
