"""The hosts that lend the slots of servers, as the leader has appointed them."""

from __future__ import annotations

__all__ = ["Candidate", "Coordinator", "CoordinatorList", "ServerGroup", "appoint"]

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

HASH_RANGE = 1 << 64

STRONG_CORES_SHARE = 0.5
"""Hosts with at least this share of the cores of the strongest one are appointed: the
messages of a whole server group take a good part of a weak host and its link."""


class ServerGroup(NamedTuple):
    """The servers of one service in one data centre."""

    service: str
    data_centre: str


class Coordinator(NamedTuple):
    """The host that lends the slots of a server group.

    :param address: address of the host for peers.
    """

    group: ServerGroup
    host: str
    address: str


class Candidate(NamedTuple):
    """A host that may be appointed.

    :param address: address of the host for peers.
    :param cores: processor cores that it may use.
    """

    host: str
    address: str
    data_centre: str
    cores: float


class CoordinatorList:
    """The newest list of coordinators that this host knows.

    :ivar term: revision of the record of the leader that made the list, 0 for none.
    :ivar version: counts the lists of one term.
    """

    def __init__(self) -> None:
        self.term = 0
        self.version = 0
        self._by_group: dict[ServerGroup, Coordinator] = {}
        self._services: frozenset[str] = frozenset()

    def is_older_than(self, term: int, version: int) -> bool:
        """Return whether a list with this term and version is newer."""
        return (self.term, self.version) < (term, version)

    def apply(
        self, term: int, version: int, coordinators: Iterable[Coordinator]
    ) -> bool:
        """Replace the list unless it is as new; return whether it was replaced."""
        if not self.is_older_than(term, version):
            return False
        self.term, self.version = term, version
        self._by_group = {one.group: one for one in coordinators}
        self._services = frozenset(group.service for group in self._by_group)
        return True

    def find(self, group: ServerGroup) -> Coordinator | None:
        """Return the coordinator of a group, ``None`` if it has none."""
        return self._by_group.get(group)

    def lends_for(self, service: str) -> bool:
        """Return whether a group of the service has a coordinator."""
        return service in self._services

    def all(self) -> tuple[Coordinator, ...]:
        """Return the coordinators of all groups."""
        return tuple(self._by_group.values())


def appoint(
    groups: Iterable[ServerGroup],
    candidates: Collection[Candidate],
    current: Mapping[ServerGroup, Coordinator],
) -> dict[ServerGroup, Coordinator]:
    """Return the coordinators of the groups.

    A coordinator that is still a candidate keeps its group, since another one would
    not know which slots are in use. A new one is chosen by a rendezvous hash among the
    hosts of the group's data centre, weighted by their cores and by the groups that
    they have.
    """
    by_process = {(one.host, one.address): one for one in candidates}
    group_counts = dict.fromkeys(by_process, 0)
    appointed: dict[ServerGroup, Coordinator] = {}
    vacant = []
    for group in sorted(groups):
        known = current.get(group)
        if known is not None and (known.host, known.address) in by_process:
            appointed[group] = known
            group_counts[known.host, known.address] += 1
        else:
            vacant.append(group)
    for group in vacant:
        chosen = max(
            _strong_candidates(candidates, group.data_centre),
            key=lambda one: _weight(one, group, group_counts[one.host, one.address]),
            default=None,
        )
        if chosen is not None:
            appointed[group] = Coordinator(group, chosen.host, chosen.address)
            group_counts[chosen.host, chosen.address] += 1
    return appointed


def _strong_candidates(
    candidates: Collection[Candidate], data_centre: str
) -> list[Candidate]:
    """Return the strong hosts of a data centre, or of all if it has no host."""
    local = [one for one in candidates if one.data_centre == data_centre]
    usable = local or list(candidates)
    most_cores = max((one.cores for one in usable), default=0.0)
    return [one for one in usable if one.cores >= STRONG_CORES_SHARE * most_cores]


def _weight(candidate: Candidate, group: ServerGroup, group_count: int) -> float:
    """Return the weight of a candidate for a group by weighted rendezvous hashing."""
    text = f"{candidate.host}\0{group.service}\0{group.data_centre}"
    position = (xxhash.xxh3_64_intdigest(text.encode()) + 1) / (HASH_RANGE + 1)
    return candidate.cores / (1 + group_count) / -math.log(position)
