"""Gossip decisions of one process: topics, freshness and membership combined.

The service carries out the actions over connections; the benchmark carries out
the actions of the same code over simulated queues.
"""

from __future__ import annotations

__all__ = ["GossipNode"]

import random
from collections.abc import Iterable

from .dissemination import (
    Action,
    Digest,
    DigestExchange,
    Disseminator,
    OfferResult,
    Topic,
    TopicStore,
    choose_watchers,
)
from .freshness import STALENESS_LIMIT_S, Freshness, FreshnessTracker, choose_probers
from .membership import HostState, MembershipView

# Age of the newest confirmation beyond which a host makes extra exchanges. A host
# two tiers from the watchers then still receives a confirmation well within the
# staleness limit of 5 s.
REFRESH_AGE_S = 1.5
EXTRA_EXCHANGE_INTERVAL_S = 0.5


class GossipNode:
    """Gossip state of one control process.

    :param incarnation: higher at each start of the process.
    :param staleness_limit_s: see :class:`~.freshness.FreshnessTracker`.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        incarnation: int,
        randomness: random.Random,
        staleness_limit_s: float = STALENESS_LIMIT_S,
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.leaving = False
        self.topics = TopicStore()
        self.membership = MembershipView(host, incarnation)
        self.freshness = FreshnessTracker(data_centre, staleness_limit_s)
        self._disseminator = Disseminator(host, self.topics, randomness)
        self._random = randomness
        self._applied_revision = (-1, False)
        self._watchers: frozenset[str] = frozenset()
        self._probers: dict[str, str] = {}
        self._data_centres: set[str] = {data_centre}
        self._next_extra_exchange_s = 0.0
        self._refresh_hosts()

    def apply_host_list(
        self, hosts: Iterable[tuple[str, str, str, bool]], now_s: float
    ) -> None:
        """Apply the host list; see :meth:`.MembershipView.apply_host_list`."""
        self.membership.apply_host_list(hosts, now_s)
        self._refresh_hosts()

    def is_watcher(self) -> bool:
        """Return whether this process is one of the watchers of the store."""
        return self.host in self._watchers

    def should_probe_store(self, now_s: float) -> bool:
        """Return whether this process should probe the store now."""
        return self.host in self._probers and self.freshness.should_probe(now_s)

    def state(self, now_s: float) -> Freshness:
        """Return whether the configuration of this host is current."""
        return self.freshness.state(now_s, self._data_centres)

    def make_digest(self, now_s: float) -> Digest:
        """Return the digest to send now."""
        return Digest(
            self.host,
            self._disseminator.digest_versions(),
            self.freshness.age_s(now_s),
            self.freshness.reports_store_down(now_s),
            self.membership.incarnation,
            self.leaving,
            self.membership.suspects(self._random),
        )

    def publish(self, topic: Topic) -> tuple[OfferResult, list[Action]]:
        """Offer a topic that was made or read from the store here."""
        return self._disseminator.publish(topic)

    def handle_topic(
        self, topic: Topic, sender: str
    ) -> tuple[OfferResult, list[Action]]:
        """Offer a topic that a peer sent."""
        return self._disseminator.receive(topic, sender)

    def handle_announcement(
        self, sender: str, versions: dict[str, int], now_s: float
    ) -> list[Action]:
        """Handle the announcement of a version."""
        return self._disseminator.learn_versions(sender, versions, now_s)

    def handle_digest(
        self, digest: Digest, now_s: float
    ) -> tuple[Digest, list[Action]]:
        """Handle a peer's request for an exchange; return the response to it."""
        self._record_digest(digest, now_s, answered=False)
        actions = self._disseminator.learn_versions(
            digest.sender, digest.versions, now_s
        )
        return self.make_digest(now_s), actions

    def handle_response(
        self, digest: Digest, requested_at_s: float, now_s: float
    ) -> list[Action]:
        """Handle the response to an exchange requested at ``requested_at_s``."""
        self._record_digest(digest, now_s, answered=True)
        member = self.membership.get(digest.sender)
        if member is not None:
            self.freshness.record_response(
                digest.sender,
                member.data_centre,
                digest.confirmed_age_s,
                digest.store_down,
                requested_at_s,
            )
        return self._disseminator.learn_versions(digest.sender, digest.versions, now_s)

    def handle_failure(self, action: Action, now_s: float) -> list[Action]:
        """Handle the failure of an action; return the actions that replace it."""
        self.membership.record_contact_failure(action.peer, now_s)
        self._refresh_hosts()
        return self._disseminator.handle_contact_failure(action, now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Return the actions that are due; to be called several times a second."""
        self.membership.tick(now_s)
        self._refresh_hosts()
        actions = self._disseminator.tick(now_s)
        if now_s >= self._next_extra_exchange_s:
            peer = self._choose_extra_peer(now_s)
            if peer is not None:
                interval_s = EXTRA_EXCHANGE_INTERVAL_S * (
                    0.75 + 0.5 * self._random.random()
                )
                self._next_extra_exchange_s = now_s + interval_s
                actions.append(DigestExchange(peer))
        return actions

    def _choose_extra_peer(self, now_s: float) -> str | None:
        """Choose the peer of an exchange in addition to the regular ones, if any.

        Random exchanges alone take over 5 s to bring a confirmation to all of
        500 hosts, or to collect outage reports from most data centres.
        """
        to_ask = self.freshness.choose_data_centres_to_ask(now_s, self._data_centres)
        if to_ask:
            probers = sorted(
                host
                for host, data_centre in self._probers.items()
                if data_centre in to_ask and host != self.host
            )
            if probers:
                return self._random.choice(probers)
        suspect = self.membership.choose_suspect_to_contact(now_s, self._random)
        if suspect is not None:
            return suspect
        if self.freshness.age_s(now_s) > REFRESH_AGE_S:
            return self._disseminator.choose_peer_nearer_watchers()
        return None

    def _record_digest(self, digest: Digest, now_s: float, answered: bool) -> None:
        self.membership.record_digest(
            digest.sender,
            digest.incarnation,
            digest.leaving,
            digest.suspects,
            now_s,
            answered,
        )
        self._refresh_hosts()

    def _refresh_hosts(self) -> None:
        revision = (self.membership.revision, self.leaving)
        if revision == self._applied_revision:
            return
        self._applied_revision = revision
        live = {**self.membership.usable(), self.host: self.data_centre}
        self._disseminator.set_hosts(live)
        members = self.membership.members()
        self._data_centres = {m.data_centre for m in members} | {self.data_centre}
        remaining = {
            host: data_centre
            for host, data_centre in live.items()
            if self.membership.state(host) is not HostState.LEAVING
            and not (host == self.host and self.leaving)
        }
        self._watchers = frozenset(choose_watchers(remaining))
        self._probers = {host: remaining[host] for host in choose_probers(remaining)}
