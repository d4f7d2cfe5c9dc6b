"""Fences off owners that a restored store no longer knows.

A store that comes back from an older copy may have lost the writes by which keys moved,
so another server than the recorded owner may hold a key. Before a leader grants by an
assignment of an earlier era, each server has to release, at a fence of the new era, all
keys that are not recorded as its own. It refuses older grants from then on. Servers of
a keyed service that is not recorded at all release all keys: the record may be lost.
"""

from __future__ import annotations

__all__ = ["FenceSweep", "SweepRelease"]

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from .assignment import OwnedRange
from .model import KEY_COUNT, Backend

RELEASE_INTERVAL_S = 0.4
"""Interval between releases to a server that does not respond."""

SETTLING_S = 2.5
"""Servers that registered since the copy was made register again within about two
seconds (according to the platform's documentation)."""


class _Recipient(NamedTuple):
    """One incarnation of a server that may hold keys."""

    service: str
    server: str
    address: str
    started_ms: int


class SweepRelease(NamedTuple):
    """Release of the keys ``first`` to ``last`` to send to a server."""

    recipient: _Recipient
    first: int
    last: int


class FenceSweep:
    """Tracks which servers have released the keys that are not theirs.

    :param ranges: owners of the keys of each keyed service, by the known assignment.
    :param begin_s: start of the sweep.
    :param knows_earlier_grants: returns whether this host knows all servers that were
        granted keys. One that does not waits until all grants have expired, since a
        server that is cut off from the store may hold keys unseen.
    :param last_expiry_s: from then on no grant of an earlier era is valid.
    """

    def __init__(
        self,
        ranges: Mapping[str, Collection[OwnedRange]],
        begin_s: float,
        knows_earlier_grants: Callable[[], bool],
        last_expiry_s: float,
    ) -> None:
        self._ranges = ranges
        self._knows_earlier_grants = knows_earlier_grants
        self._settled_s = begin_s + SETTLING_S
        self._last_expiry_s = last_expiry_s
        self._sent_s: dict[SweepRelease, float] = {}
        self._released: set[SweepRelease] = set()

    def record_previous_leaders_stopped(self, expiry_s: float) -> None:
        """Record that all previous leaders have stopped.

        :param expiry_s: from then on none of their grants is valid.
        """
        self._last_expiry_s = min(self._last_expiry_s, expiry_s)

    def record_all_registered(self, now_s: float) -> None:
        """Record that no server will register that may hold keys."""
        self._settled_s = min(self._settled_s, now_s)

    def is_complete(self, backends: Iterable[Backend], now_s: float) -> bool:
        """Return whether no server can hold a key that is not recorded as its own.

        :param backends: servers of keyed services that are listed or were removed
            lately.
        """
        if now_s >= self._last_expiry_s:
            return True
        if not self._knows_earlier_grants() or now_s < self._settled_s:
            return False
        return not self._unreleased(backends)

    def due_releases(
        self, backends: Iterable[Backend], now_s: float
    ) -> list[SweepRelease]:
        """Return the releases to send now, and count them as sent."""
        due = [
            release
            for release in self._unreleased(backends)
            if now_s - self._sent_s.get(release, float("-inf")) >= RELEASE_INTERVAL_S
        ]
        self._sent_s.update(dict.fromkeys(due, now_s))
        return due

    def record_release(self, release: SweepRelease) -> None:
        """Record that the server has released the keys."""
        self._released.add(release)

    def _unreleased(self, backends: Iterable[Backend]) -> list[SweepRelease]:
        return [
            release
            for recipient in self._recipients(backends)
            for release in self._releases_to(recipient)
            if release not in self._released
        ]

    def _recipients(self, backends: Iterable[Backend]) -> set[_Recipient]:
        """Return the servers that may hold keys: known ones and recorded owners."""
        known = {
            _Recipient(b.service, b.server, b.address, b.started_ms) for b in backends
        }
        servers = {recipient.server for recipient in known}
        recorded = {
            _Recipient(service, owned.server, owned.address, owned.started_ms)
            for service, ranges in self._ranges.items()
            for owned in ranges
            if owned.server not in servers
        }
        return known | recorded

    def _releases_to(self, recipient: _Recipient) -> list[SweepRelease]:
        """Return releases of all keys that are not recorded as the server's."""
        releases = []
        first = 0
        for owned in self._ranges.get(recipient.service, ()):
            if owned.server != recipient.server:
                continue
            if first < owned.first:
                releases.append(SweepRelease(recipient, first, owned.first - 1))
            first = owned.last + 1
        if first < KEY_COUNT:
            releases.append(SweepRelease(recipient, first, KEY_COUNT - 1))
        return releases
