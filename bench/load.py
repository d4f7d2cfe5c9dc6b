"""Closed-loop load generator with latency histograms."""

from __future__ import annotations

__all__ = ["LoadResult", "run_closed_loop"]

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000


class LoadResult(NamedTuple):
    """Result of a load run; latencies in milliseconds."""

    requests: int
    failures: int
    duration_s: float
    p50_ms: float
    p99_ms: float


async def run_closed_loop(
    url_of: Callable[[int], str],
    headers_of: Callable[[int], dict[str, str]],
    callers: int,
    requests: int,
) -> LoadResult:
    """Send ``requests`` GETs from ``callers`` callers, one at a time each.

    :param url_of: returns the URL of a request by its number.
    :param headers_of: returns the header fields of a request by its number.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    numbers = iter(range(requests))
    failures = 0

    async def run_caller() -> None:
        nonlocal failures
        for number in numbers:
            started_ns = time.perf_counter_ns()
            async with session.get(
                url_of(number), headers=headers_of(number)
            ) as response:
                await response.read()
                failures += response.status != 200
            latency_us = (time.perf_counter_ns() - started_ns) // 1000
            histogram.record_value(min(MAX_LATENCY_US, max(1, latency_us)))

    started_s = time.perf_counter()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=60),
    ) as session:
        await asyncio.gather(*(run_caller() for _ in range(callers)))
    return LoadResult(
        requests,
        failures,
        time.perf_counter() - started_s,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
    )
