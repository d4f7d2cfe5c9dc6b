"""Request rates that servers have asked not to be exceeded by all hosts together."""

from __future__ import annotations

__all__ = ["LimitObservation", "ServerLimits"]

from typing import NamedTuple

from .model import Backend

MAX_AGE_S = 30.0
"""A limit that no host has seen confirmed for this long is forgotten: its server may
have got no requests whose responses could tell that it has ended."""

MIN_NAMED_S = 0.25
"""A response without a limit ends one that was named at least this long ago. Responses
that a server sent about when it named the limit may arrive in any order."""

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

    def limit_of(self, backend: Backend, now_s: float) -> float | None:
        """Return the limit that a server has named, ``None`` if it names none."""
        known = self._observations.get(backend.server)
        if known is None or known.started_ms != backend.started_ms:
            return None
        if now_s - known.observed_s > MAX_AGE_S:
            return None
        return known.limit_per_s

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
        if len(self._observations) > MAX_LIMITS:
            del self._observations[next(iter(self._observations))]


def _supersedes(new: LimitObservation, known: LimitObservation) -> bool:
    if new.started_ms != known.started_ms:
        return False
    age_s = new.observed_s - known.observed_s
    if new.limit_per_s is None and known.limit_per_s is not None:
        return age_s >= MIN_NAMED_S
    return age_s > 0
