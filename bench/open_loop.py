"""Open-loop load generator: sends requests on schedule, regardless of responses.

Reads the schedule from a JSON file and writes the outcome of each request to another.
"""

from __future__ import annotations

__all__ = ["Arrival", "Outcome", "read_outcomes", "write_schedule"]

import asyncio
import json
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp
import click

LATE_S = 5.0


class Arrival(NamedTuple):
    """One scheduled request.

    :param at_s: time of arrival, relative to the start of the run.
    :param url: URL of the request.
    :param account: client account, which determines the priority class.
    :param deadline_ms: deadline sent to the router.
    :param work_ms: time that the request occupies a slot of the server.
    """

    at_s: float
    url: str
    account: str
    deadline_ms: int
    work_ms: float


class Outcome(NamedTuple):
    """Outcome of one request; a status of 0 means that there was no response."""

    account: str
    at_s: float
    work_ms: float
    status: int
    latency_ms: float


def write_schedule(path: Path, arrivals: list[Arrival]) -> None:
    """Write a schedule for the load generator."""
    path.write_text(json.dumps(arrivals))


def read_outcomes(path: Path) -> list[Outcome]:
    """Read the outcomes of a run."""
    return [Outcome(*entry) for entry in json.loads(path.read_text())]


async def _run(arrivals: list[Arrival]) -> list[Outcome]:
    outcomes: list[Outcome] = []
    loop = asyncio.get_running_loop()

    async def send(arrival: Arrival) -> None:
        headers = {
            "jacinthpath-account": arrival.account,
            "jacinthpath-deadline-ms": str(arrival.deadline_ms),
        }
        started_s = time.perf_counter()
        status = 0
        try:
            async with session.get(arrival.url, headers=headers) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            pass
        latency_ms = (time.perf_counter() - started_s) * 1000
        outcomes.append(
            Outcome(arrival.account, arrival.at_s, arrival.work_ms, status, latency_ms)
        )

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=30),
    ) as session:
        start_s = loop.time() + 0.2
        tasks = []
        for arrival in arrivals:
            await asyncio.sleep(start_s + arrival.at_s - loop.time())
            tasks.append(asyncio.create_task(send(arrival)))
        await asyncio.gather(*tasks)
    return outcomes


@click.command()
@click.argument("schedule", type=click.Path(path_type=Path))
@click.argument("output", type=click.Path(path_type=Path))
def main(schedule: Path, output: Path) -> None:
    """Run SCHEDULE and write the outcome of each request to OUTPUT."""
    arrivals = [Arrival(*entry) for entry in json.loads(schedule.read_text())]
    outcomes = asyncio.run(_run(arrivals))
    output.write_text(json.dumps(outcomes))


if __name__ == "__main__":
    main()
