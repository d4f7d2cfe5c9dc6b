"""Request rates that servers have asked not to be exceeded by all hosts together."""

from __future__ import annotations

__all__ = ["LimitObservation", "ServerLimits"]

from typing import NamedTuple

import xxhash

MAX_AGE_S = 30.0
"""A limit that no host has seen confirmed for this long is forgotten: its server may
have got no requests whose responses could tell that it has ended."""

MIN_NAMED_S = 0.25
"""A response without a limit ends one that was named at least this long ago. Responses
that a server sent about when it named the limit may arrive in any order."""

REFRESH_MARGIN_S = 5.0
"""Peers tell each other of a limit again this long before they would forget it."""

MAX_LIMITS = 2_000
"""Limits that are remembered; beyond it the one observed longest ago is dropped."""


class LimitObservation(NamedTuple):
    """What a host learned about the limit of one incarnation of a server.

    :param limit_per_s: requests a second from all hosts together, or ``None`` if the
        server has stopped to name a limit.
    :param observed_s: time of the response that told so, on this host's boot clock.
    """

    server: str
    started_ms: int
    limit_per_s: float | None
    observed_s: float


class ServerLimits:
    """The newest observation of each server's limit, by this host or a peer."""

    def __init__(self) -> None:
        self._observations: dict[str, LimitObservation] = {}
        self._unreported: dict[str, LimitObservation] = {}

    def find(
        self, server: str, started_ms: int, now_s: float
    ) -> LimitObservation | None:
        """Return the limit that an incarnation of a server names, if any."""
        known = self._observations.get(server)
        if known is None or known.started_ms != started_ms:
            return None
        return known if _is_in_force(known, now_s, MAX_AGE_S) else None

    def all(self) -> tuple[LimitObservation, ...]:
        """Return all observations, also of limits that have ended."""
        return tuple(self._observations.values())

    def record_own(self, observation: LimitObservation) -> bool:
        """Keep an observation of this host, and report it to the leader next.

        :return: whether the limit of the server has changed.
        """
        changed = self.record(observation)
        if changed or observation.limit_per_s is not None:
            self._unreported[observation.server] = observation
        return changed

    def collect_report(self) -> tuple[LimitObservation, ...]:
        """Return what this host observed since the last report, and reset."""
        unreported = tuple(self._unreported.values())
        self._unreported.clear()
        return unreported

    def digest(self, now_s: float) -> int:
        """Return a digest of the limits in force, 0 if there are none."""
        max_age_s = MAX_AGE_S - REFRESH_MARGIN_S
        rows = sorted(
            (one.server, one.started_ms, one.limit_per_s)
            for one in self._observations.values()
            if _is_in_force(one, now_s, max_age_s)
        )
        return xxhash.xxh64_intdigest(repr(rows).encode()) if rows else 0

    def record(self, observation: LimitObservation) -> bool:
        """Keep an observation unless a newer one is known.

        :return: whether the limit of the server has changed.
        """
        known = self._observations.get(observation.server)
        if known is None or known.started_ms < observation.started_ms:
            if observation.limit_per_s is None:
                return False
            self._keep(observation)
            return True
        if not _supersedes(observation, known):
            return False
        self._keep(observation)
        return known.limit_per_s != observation.limit_per_s

    def _keep(self, observation: LimitObservation) -> None:
        self._observations.pop(observation.server, None)
        self._observations[observation.server] = observation
        oldest = next(iter(self._observations.values()))
        outdated = observation.observed_s - oldest.observed_s > 2 * MAX_AGE_S
        if outdated or len(self._observations) > MAX_LIMITS:
            del self._observations[oldest.server]


def _is_in_force(one: LimitObservation, now_s: float, max_age_s: float) -> bool:
    return one.limit_per_s is not None and now_s - one.observed_s <= max_age_s


def _supersedes(new: LimitObservation, known: LimitObservation) -> bool:
    if new.started_ms != known.started_ms:
        return False
    age_s = new.observed_s - known.observed_s
    if new.limit_per_s is None and known.limit_per_s is not None:
        return age_s >= MIN_NAMED_S
    return age_s > 0
