"""Tracks whether the leader keeps this host up to date, by the leader's responses."""

from __future__ import annotations

__all__ = ["MAX_LEADER_AGE_S", "PAUSE_S", "Following"]

from collections.abc import Callable, Collection
from random import Random
from typing import Any, NamedTuple

from .clock import boottime_s
from .cluster_view import ClusterView
from .leader_record import LeaderRecord

FOLLOWING_TIMEOUT_S = 1.0
"""A host that gets no fresh response from the leader for this long reads the store
instead: requests to a draining server must stop within two seconds."""

MAX_LEADER_AGE_S = 1.5
"""A leader whose list of servers is older than this is not followed. Its followers have
the rest of two seconds to read the store, before requests to a draining server must
stop."""

MAX_CONFIGURATION_AGE_S = 1.5
"""A host whose configuration was confirmed longer ago reads the store: the leader may
not hear of a newer one. The leader has its own confirmed every half second."""

STORE_READ_TIMEOUT_S = 1.0
"""A host that has not read a configuration from the store for this long asks the leader
for it again."""

PAUSE_S = 0.15
MAX_PAUSE_S = 0.3
MAX_APPLYING_SHARE = 0.2
"""Share of a host's time for applying documents: it waits longer after one that took
long, so that the next carries several changes."""


class _ConfigurationAtStore(NamedTuple):
    """A configuration that the leader referred this host to the store for.

    :param referred_s: when it did, on the boot clock.
    """

    digest: int
    revision: int
    referred_s: float


_NOTHING_AT_STORE = _ConfigurationAtStore(0, 0, float("-inf"))


class Following:
    """What this host knows of the leader that it follows.

    :param address: address of this host for peers.
    :param clock: boot clock.
    :ivar applying_s: how long it took to apply the last response.
    """

    def __init__(
        self, view: ClusterView, address: str, clock: Callable[[], float] = boottime_s
    ) -> None:
        self.applying_s = 0.0
        self._view = view
        self._address = address
        self._clock = clock
        self._followed_at_s = float("-inf")
        self._followed_process_id = ""
        self._unresponsive_process_id = ""
        self._at_store = _NOTHING_AT_STORE
        self._states_evacuations = False

    def is_following(self) -> bool:
        """Return whether the leader keeps this host up to date."""
        leader = self._view.leader
        return (
            leader is not None
            and leader.process_id == self._followed_process_id
            and self._clock() - self._followed_at_s < FOLLOWING_TIMEOUT_S
        )

    def keeps_configuration_current(self) -> bool:
        """Return whether the leader keeps the configuration of this host up to date."""
        state = self._view.configuration
        return (
            self.is_following()
            and state.age_s() < MAX_CONFIGURATION_AGE_S
            and not state.refuses_newer()
            and not self._is_behind_store()
        )

    def keeps_evacuations_current(self) -> bool:
        """Return whether the leader keeps the evacuations of this host up to date.

        A leader of an earlier build knows of none.
        """
        return self.is_following() and self._states_evacuations

    def may_follow(self) -> bool:
        """Return whether another host leads and could be followed when last asked."""
        leader = self._view.leader
        return (
            leader is not None
            and leader.address != self._address
            and leader.process_id != self._unresponsive_process_id
        )

    def unwanted_digest(self, store_fails: bool) -> int:
        """Return the digest of the configuration that the leader need not send.

        :param store_fails: whether the store does not respond to this host, so that it
            cannot read there what the leader has referred it to.
        """
        state = self._view.configuration
        waited_s = self._clock() - self._at_store.referred_s
        if (
            self._is_behind_store()
            and waited_s < STORE_READ_TIMEOUT_S
            and not store_fails
        ):
            return self._at_store.digest
        return state.refused_digest if state.refuses_newer() else 0

    def pause_s(self, random: Random) -> float:
        """Return how long to wait before the leader is asked again.

        Updates come in bursts. The pause lets one response carry several, and bounds
        the message rate if the documents of two hosts never converge.
        """
        busy_s = self.applying_s * (1 / MAX_APPLYING_SHARE - 1)
        return min(MAX_PAUSE_S, max(PAUSE_S * random.random(), busy_s))

    def record_response(
        self, leader: LeaderRecord, content: Any, failed: Collection[str]
    ) -> None:
        """Record the documents of the leader.

        :param failed: names of the parts that could not be applied.
        """
        if content.configurationAtStore:
            self._at_store = _ConfigurationAtStore(
                content.configurationDigest,
                content.configurationRevision,
                self._clock(),
            )
        self._states_evacuations = (
            content.evacuationsRevision > 0 and "evacuations" not in failed
        )
        is_fresh = content.confirmed and content.ageMs < MAX_LEADER_AGE_S * 1000
        if not is_fresh:
            # Drains that it has not heard of are late already.
            self._followed_at_s = float("-inf")
        elif "servers" not in failed:
            self._followed_at_s = self._clock()
            self._followed_process_id = leader.process_id
            self._unresponsive_process_id = ""
        if not content.confirmed:
            # Another host may lead already, and the store alone tells which.
            self._unresponsive_process_id = leader.process_id

    def record_no_response(self, leader: LeaderRecord) -> None:
        """Record that the leader did not respond."""
        self._unresponsive_process_id = leader.process_id

    def _is_behind_store(self) -> bool:
        """Return whether the leader has referred this host to the store."""
        return self._view.configuration.revision < self._at_store.revision
