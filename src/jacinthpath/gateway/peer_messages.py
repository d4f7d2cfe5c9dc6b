"""Encodes and decodes load reports, servers and documents in peer frames."""

from __future__ import annotations

__all__ = [
    "DocumentParts",
    "apply_documents",
    "has_newer_assignment",
    "read_leaving",
    "read_report",
    "write_documents",
    "write_report",
]

import enum
from typing import Any

from ..errors import FrameError, JacinthpathError
from .capacity.slot_messages import read_coordinators
from .cluster_view import ClusterView
from .cold_messages import (
    has_other_cold_servers,
    read_cold_servers,
    write_cold_servers,
)
from .configuration_messages import (
    MAX_AGE_MS,
    ConfigurationForm,
    apply_configuration,
    write_configuration,
)
from .directory import ServerDelta
from .evacuation_messages import apply_evacuations, write_evacuations
from .limit_messages import has_other_limits, read_limit, write_limits
from .loads import HostReport, LeavingServer, ServerEvidence, ServiceReport
from .model import KEY_COUNT, Backend, Documents
from .revisions import era_of_revision

MAX_REPORTED_KEYS = 4_096

MAX_SERVERS_AGE_S = 2.0
"""A list of servers of this age or older is not applied: its sender may have lost the
store."""


class DocumentParts(enum.IntEnum):
    """How much a response with documents contains, for those that are too large."""

    CONFIGURATION = 1
    ASSIGNMENT = 2
    """Also the configuration."""
    ALL = 3


def write_documents(
    content: Any,
    wanted: Any,
    view: ClusterView,
    parts: DocumentParts = DocumentParts.ALL,
    form: ConfigurationForm = ConfigurationForm.NONE,
) -> None:
    """Write the documents of which the requester has an older version.

    They are written as deltas if the requester's version is still known and it accepts
    deltas, and whole otherwise. What is left out is wanted again in the requester's
    next message. One that does not get the servers must not take its own list for
    fresh.

    :param form: how to write the configuration.
    """
    content.ageMs = MAX_AGE_MS
    if parts is DocumentParts.ALL:
        content.ageMs = int(min(MAX_AGE_MS, view.servers_age_s() * 1000))
        _write_cluster(content, wanted, view)
    write_configuration(content, wanted, view.configuration, form)
    newest = view.newest_documents()
    if parts > DocumentParts.CONFIGURATION and has_newer_assignment(newest, wanted):
        _write_assignment(content, wanted, view)


def _write_cluster(content: Any, wanted: Any, view: ClusterView) -> None:
    """Write the servers, what limits and evacuates them, and the hosts."""
    content.serversRevision = view.directory.revision
    if view.directory.digest() != wanted.serversDigest:
        _write_servers(content, wanted, view)
    if _has_other_hosts(view, wanted):
        hosts = content.init("hosts", len(view.peer_addresses))
        for entry, (host, address) in zip(
            hosts, view.peer_addresses.items(), strict=True
        ):
            entry.host, entry.address = host, address
    if has_other_limits(view.limits, wanted):
        write_limits(content, view.limits.all())
    if has_other_cold_servers(view, wanted):
        write_cold_servers(content, view.cold_servers.all())
    write_evacuations(content, wanted, view)


def _has_other_hosts(view: ClusterView, wanted: Any) -> bool:
    """Return whether the requester knows other hosts than this one.

    A requester of an earlier build only tells how many it knows.
    """
    if not wanted.hostsDigest:
        return len(view.peer_addresses) != wanted.hosts
    return view.hosts_digest() != wanted.hostsDigest


def has_newer_assignment(newest: Documents, wanted: Any) -> bool:
    """Return whether this host has a newer assignment than the requester.

    A requester of an earlier build does not send the fence.
    """
    newer_revision = newest.assignment_revision > wanted.assignmentRevision
    if not wanted.assignmentFence or newest.assignment_fence == wanted.assignmentFence:
        return newer_revision
    return newest.assignment_fence > wanted.assignmentFence


def _write_assignment(content: Any, wanted: Any, view: ClusterView) -> None:
    content.assignmentRevision = view.assignment_revision
    delta = None
    if wanted.takesChanges:
        delta = view.assignment_delta_since(wanted.assignmentRevision)
    if delta is None:
        content.assignment = view.encoded_assignment()
    else:
        content.assignment = delta
        content.assignmentBase = wanted.assignmentRevision


def _write_servers(content: Any, wanted: Any, view: ClusterView) -> None:
    directory = view.directory
    delta = directory.delta_since(wanted.serversDigest) if wanted.takesChanges else None
    if delta is None:
        backends = tuple(directory.all().values())
    else:
        backends = delta.backends
        content.serversBase = wanted.serversDigest
        content.serversGone = list(delta.removed)
    entries = content.init("servers", len(backends))
    for entry, backend in zip(entries, backends, strict=True):
        _write_server(entry, backend)


def apply_documents(content: Any, view: ClusterView, source: str) -> frozenset[str]:
    """Apply the documents that a peer has sent.

    :return: the parts that could not be applied; what the peer tells of their age holds
        for its own copies alone.
    """
    failed = set()
    for name, apply in (
        ("configuration", apply_configuration),
        ("assignment", _apply_assignment),
        ("hosts", _apply_hosts),
        ("servers", _apply_servers),
        ("limits", _apply_limits),
        ("coordinators", _apply_coordinators),
        ("cold servers", _apply_cold_servers),
        ("evacuations", apply_evacuations),
    ):
        try:
            apply(content, view, source)
        except Exception as error:
            # One part that cannot be applied must not keep back the others.
            failed.add(name)
            _record_failure(f"{name} of {source}", view, error)
    return frozenset(failed)


def _record_failure(part: str, view: ClusterView, error: Exception) -> None:
    if isinstance(error, JacinthpathError):
        view.record_refused(part, 0, error)
    else:
        view.record_error("peer-documents", error)


def _apply_hosts(content: Any, view: ClusterView, _source: str) -> None:
    for entry in content.hosts:
        view.apply_peer_address(entry.host, entry.address.encode())


def _apply_limits(content: Any, view: ClusterView, source: str) -> None:
    for entry in content.limits:
        view.record_limit(read_limit(entry), source)


def _apply_coordinators(content: Any, view: ClusterView, _source: str) -> None:
    if content.coordinatorsTerm:
        view.apply_coordinators(
            content.coordinatorsTerm,
            content.coordinatorsVersion,
            read_coordinators(content),
        )


def _apply_cold_servers(content: Any, view: ClusterView, source: str) -> None:
    if len(content.coldServers):
        view.cold.merge_all(read_cold_servers(content), source)


def _apply_assignment(content: Any, view: ClusterView, source: str) -> None:
    encoded, revision = bytes(content.assignment), content.assignmentRevision
    if not encoded:
        return
    if content.assignmentBase:
        base = content.assignmentBase
        view.apply_assignment_delta(encoded, base, revision, source)
    else:
        view.apply_assignment(encoded, revision, source)


def _apply_servers(content: Any, view: ClusterView, _source: str) -> None:
    age_s = content.ageMs / 1000
    if age_s < MAX_SERVERS_AGE_S and not _has_older_servers(content, age_s, view):
        _apply_server_list(content, view)
    view.record_peer_store_contact(age_s)


def _has_older_servers(content: Any, age_s: float, view: ClusterView) -> bool:
    """Return whether the servers in a message are older than those of this host.

    Ages alone do not tell: they are sent in whole milliseconds, and a drain that a
    server has announced to a host changes the list between responses of the store. The
    revision of a sender of an earlier build is that of the last change of a server, and
    may be lower than that of an older list.
    """
    if content.serversRevision >= view.directory.revision:
        return False
    return age_s >= view.servers_age_s()


def _apply_server_list(content: Any, view: ClusterView) -> None:
    backends = [_read_server(entry) for entry in content.servers]
    if content.serversBase:
        delta = ServerDelta(tuple(backends), tuple(content.serversGone))
        view.apply_peer_server_delta(
            delta, content.serversBase, content.serversRevision
        )
    elif backends:
        view.apply_peer_servers(backends, content.serversRevision)
    elif _is_same_era(content.serversRevision, view.directory.revision):
        # Both have the same list.
        view.directory.record_revision(content.serversRevision)


def _is_same_era(revision: int, other: int) -> bool:
    return era_of_revision(revision) == era_of_revision(other)


def _write_server(entry: Any, backend: Backend) -> None:
    entry.server, entry.service = backend.server, backend.service
    entry.address, entry.zone = backend.address, backend.data_centre
    entry.slots, entry.draining = backend.slots, backend.draining
    entry.warmupMs = int(backend.warmup_left_s * 1000)
    entry.bornMs, entry.revision = backend.started_ms, backend.revision


def _read_server(entry: Any) -> Backend:
    return Backend(
        entry.server,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.draining,
        entry.warmupMs / 1000,
        entry.bornMs,
        entry.revision,
    )


def write_report(content: Any, report: HostReport) -> None:
    """Write a load report into a frame.

    Of each service at most :data:`MAX_REPORTED_KEYS` keys are written, the busiest.
    """
    content.host = report.host
    content.spanMs = int(report.span_s * 1000)
    services = content.init("services", len(report.services))
    for entry, service in zip(services, report.services, strict=True):
        entry.service = service.service
        busiest = sorted(service.keys.items(), key=lambda pair: -pair[1])
        busiest = busiest[:MAX_REPORTED_KEYS]
        keys = entry.init("keys", len(busiest))
        for row, (key, requests) in zip(keys, busiest, strict=True):
            row.key, row.requests = key, requests
        servers = entry.init("servers", len(service.servers))
        for row, evidence in zip(servers, service.servers, strict=True):
            row.server, row.answered = evidence.server, evidence.answered
            row.logLatencySum, row.latencySumS = evidence[2:]
    leaving = content.init("leaving", len(report.leaving))
    for row, server in zip(leaving, report.leaving, strict=True):
        row.server, row.bornMs = server
    write_limits(content, report.limits)
    write_cold_servers(content, report.cold_servers)


def read_report(content: Any) -> HostReport:
    """Return the load report in a frame, without keys that are out of range.

    :raises FrameError: a service lists more than :data:`MAX_REPORTED_KEYS` keys.
    """
    services = []
    for entry in content.services:
        if len(entry.keys) > MAX_REPORTED_KEYS:
            raise FrameError(
                "A load report lists too many keys of a service.", "Check the sender."
            )
        keys = {row.key: row.requests for row in entry.keys if row.key < KEY_COUNT}
        servers = tuple(
            ServerEvidence(row.server, row.answered, row.logLatencySum, row.latencySumS)
            for row in entry.servers
        )
        services.append(ServiceReport(entry.service, keys, servers))
    limits = tuple(read_limit(entry) for entry in content.limits)
    return HostReport(
        content.host,
        content.spanMs / 1000,
        tuple(services),
        read_leaving(content),
        limits,
        read_cold_servers(content),
    )


def read_leaving(content: Any) -> tuple[LeavingServer, ...]:
    """Return the servers in a load report that have said that they are leaving."""
    return tuple(LeavingServer(row.server, row.bornMs) for row in content.leaving)
