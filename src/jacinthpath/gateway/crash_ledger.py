"""Decides which requests crash the servers that run them, by who was there each time.

Requests that were in flight at a crash are suspects. A server that responds to such a
request clears it of all earlier crashes. One that was there at three crashes without a
response since is blocked, and is taken for the cause of all its crashes: the requests
that only happened to be there with it are suspected of these no longer.
"""

from __future__ import annotations

__all__ = ["AnsweredRequest", "BlockedRequest", "CrashLedger", "CrashReport"]

from collections import Counter
from typing import NamedTuple

import xxhash

CRASHES_TO_BLOCK = 3

SETTLING_S = 0.3
"""A crash is judged this long after its first report. By then the other hosts that had
requests in flight there have reported them."""

EVIDENCE_S = 600.0
"""Crashes that are longer ago are forgotten."""

BLOCK_S = 300.0
"""First time for which a request is blocked. If it crashes a server after that, it is
blocked again, for twice as long."""

MAX_BLOCK_S = 3600.0
MAX_CRASHES = 200
MAX_SUSPECTS = 128
"""Suspects that are remembered of one crash; a server runs only a few at a time."""

MAX_BLOCKED = 256


class CrashReport(NamedTuple):
    """A request that was in flight at a server when the server crashed.

    :param fingerprint: see :func:`~jacinthpath.gateway.fingerprints.fingerprint_of`.
    :param observed_s: time of the crash on this host's boot clock.
    """

    fingerprint: int
    server: str
    started_ms: int
    observed_s: float


class AnsweredRequest(NamedTuple):
    """A suspect that a server has run to the end.

    :param observed_s: time of the response on this host's boot clock.
    """

    fingerprint: int
    observed_s: float


class BlockedRequest(NamedTuple):
    """A request that is not sent to any server.

    :param until_s: end of the block on this host's boot clock.
    :param times: how often the request has been blocked.
    """

    fingerprint: int
    until_s: float
    times: int


class _Crash:
    """The crash of one incarnation of a server.

    :ivar is_explained: whether one of its suspects has been blocked, also if the block
        is over or was dropped for others.
    """

    def __init__(self, observed_s: float) -> None:
        self.observed_s = observed_s
        self.suspects: set[int] = set()
        self.is_explained = False


class CrashLedger:
    """Suspects of the crashes of servers, and the requests that are blocked."""

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._blocked: dict[int, BlockedRequest] = {}

    def record(self, report: CrashReport) -> None:
        """Add a suspect of a crash."""
        crash_id = report.server, report.started_ms
        crash = self._crashes.get(crash_id)
        if crash is None:
            crash = self._crashes[crash_id] = _Crash(report.observed_s)
            if len(self._crashes) > MAX_CRASHES:
                del self._crashes[next(iter(self._crashes))]
        if len(crash.suspects) < MAX_SUSPECTS:
            crash.suspects.add(report.fingerprint)

    def clear(self, answered: AnsweredRequest) -> None:
        """Clear a request of the crashes before a server responded to it."""
        for crash in self._crashes.values():
            if crash.observed_s < answered.observed_s:
                crash.suspects.discard(answered.fingerprint)

    def block_causes(self, now_s: float) -> list[BlockedRequest]:
        """Block the requests that were there at enough crashes.

        :return: the requests that were not blocked before.
        """
        self._forget_old(now_s)
        newly_blocked = []
        while causes := self._find_causes(now_s):
            # Before any block: the last ones may drop the first.
            self._explain_crashes(causes)
            for fingerprint in causes:
                newly_blocked.append(self._block(fingerprint, now_s))
        return newly_blocked

    def next_judgement_s(self, now_s: float) -> float | None:
        """Return the time until a crash is to be judged, ``None`` if none is left."""
        waits_s = [
            crash.observed_s + SETTLING_S - now_s
            for crash in self._crashes.values()
            if now_s - crash.observed_s < SETTLING_S
        ]
        return min(waits_s, default=None)

    def has_blocked(self) -> bool:
        """Return whether any request may be blocked."""
        return bool(self._blocked)

    def blocked_left_s(self, fingerprint: int, now_s: float) -> float:
        """Return for how much longer a request is blocked, 0 if it is not."""
        blocked = self._blocked.get(fingerprint)
        return max(0.0, blocked.until_s - now_s) if blocked else 0.0

    def blocked(self, now_s: float) -> tuple[BlockedRequest, ...]:
        """Return the requests that are blocked."""
        return tuple(one for one in self._blocked.values() if one.until_s > now_s)

    def merge_blocked(self, blocked: BlockedRequest) -> bool:
        """Add a block that a peer has decided; return whether it was not known."""
        known = self._blocked.get(blocked.fingerprint)
        if known is not None and known.times >= blocked.times:
            return False
        self._keep(blocked)
        return True

    def digest(self, now_s: float) -> int:
        """Return a digest of the blocked requests, 0 if there are none."""
        rows = sorted((one.fingerprint, one.times) for one in self.blocked(now_s))
        return xxhash.xxh64_intdigest(repr(rows).encode()) if rows else 0

    def _find_causes(self, now_s: float) -> list[int]:
        """Return the requests to block next: those that were there at most crashes.

        Blocked ones explain their crashes, so no other request is suspected of these.
        """
        counts: Counter[int] = Counter()
        for crash in self._crashes.values():
            if now_s - crash.observed_s < SETTLING_S:
                continue
            if not crash.suspects.isdisjoint(self._blocked):
                crash.is_explained = True
            if crash.is_explained:
                counts.update(self._returning(crash))
            else:
                counts.update(crash.suspects)
        sufficient = {
            fingerprint: count
            for fingerprint, count in counts.items()
            if count >= CRASHES_TO_BLOCK or fingerprint in self._blocked
        }
        most = max(sufficient.values(), default=0)
        return [one for one, count in sufficient.items() if count == most]

    def _explain_crashes(self, causes: list[int]) -> None:
        """Suspect no other request of the crashes at which a cause was there."""
        for crash in self._crashes.values():
            if not crash.suspects.isdisjoint(causes):
                crash.is_explained = True

    def _returning(self, crash: _Crash) -> list[int]:
        """Return the suspects that crashed a server after their block was over."""
        return [
            one
            for one in crash.suspects
            if one in self._blocked and crash.observed_s > self._blocked[one].until_s
        ]

    def _block(self, fingerprint: int, now_s: float) -> BlockedRequest:
        known = self._blocked.get(fingerprint)
        times = known.times + 1 if known else 1
        block_s = min(MAX_BLOCK_S, BLOCK_S * 2 ** (times - 1))
        blocked = BlockedRequest(fingerprint, now_s + block_s, times)
        self._keep(blocked)
        return blocked

    def _keep(self, blocked: BlockedRequest) -> None:
        self._blocked.pop(blocked.fingerprint, None)
        self._blocked[blocked.fingerprint] = blocked
        if len(self._blocked) > MAX_BLOCKED:
            del self._blocked[next(iter(self._blocked))]

    def _forget_old(self, now_s: float) -> None:
        self._crashes = {
            crash_id: crash
            for crash_id, crash in self._crashes.items()
            if now_s - crash.observed_s < EVIDENCE_S
        }
        self._blocked = {
            fingerprint: one
            for fingerprint, one in self._blocked.items()
            if now_s - one.until_s < EVIDENCE_S
        }
