"""Requests permits of the leader, and issues them while this host leads."""

from __future__ import annotations

__all__ = ["PermitExchange"]

from collections.abc import Callable
from typing import Any

from ..codec import new_frame
from ..errors import PeerUnavailable
from ..peers import PeerPool
from .authority import LeaderAuthority
from .clock import boottime_s
from .cluster_view import ClusterView
from .limit_messages import read_limit, read_permit, write_limit, write_permit
from .limit_permits import GRANTED, Permit, PermitIssuer
from .server_limits import LimitObservation

PERMIT_TIMEOUT_S = 0.1
"""The leader responds within milliseconds, and callers wait for it."""


class PermitExchange:
    """See :class:`jacinthpath.gateway.rate_limiter.PermitSource`.

    :param host: name of this host.
    :param address: address of this host for peers.
    :ivar authority: returns what this host may do as the leader, ``None`` if it does
        not lead.
    """

    def __init__(
        self, host: str, address: str, pool: PeerPool, view: ClusterView
    ) -> None:
        self.authority: Callable[[], LeaderAuthority | None] = lambda: None
        self._host = host
        self._address = address
        self._pool = pool
        self._view = view
        self._issuer = PermitIssuer(host)
        self._counted_s = float("-inf")

    async def request_permit(self, limit: LimitObservation) -> Permit:
        """Return the leader's decision on one request to a limited server.

        :raises JacinthpathError: no leader whose lease is confirmed responds.
        """
        leader = self._view.leader
        if leader is None:
            raise PeerUnavailable("No host leads.", "Wait for the election.")
        sent_s = boottime_s()
        if leader.address == self._address:
            permit = self._issue(limit, self._host)
            if permit is None:
                raise PeerUnavailable("This host's lease is not confirmed.", "Wait.")
        else:
            frame = new_frame()
            write_limit(frame.body.init("permitWanted"), limit)
            response = await self._pool.request(leader.address, frame, PERMIT_TIMEOUT_S)
            permit = read_permit(response.body.permit)
        self.record_counted(sent_s)
        return permit

    def is_confirmed(self) -> bool:
        """Return whether this host leads and no other host can lead."""
        authority = self.authority()
        return authority is not None and authority.may_move_keys(boottime_s())

    def last_counted_s(self) -> float:
        """Return when a leader last counted this host's shares as its own to issue."""
        return self._counted_s

    def record_counted(self, sent_s: float) -> None:
        """Record that the leader counted this host, by when the leader was asked."""
        self._counted_s = max(self._counted_s, sent_s)

    def count_host(self, host: str) -> bool:
        """Count the shares of another host as this leader's to issue, if it may."""
        if not self.is_confirmed():
            return False
        self._issuer.record_host(host, boottime_s())
        return True

    async def handle_permit_wanted(self, connection: Any, frame: Any) -> Any:
        """Respond to a host that wants to send a request to a limited server."""
        limit = read_limit(frame.body.permitWanted)
        host = connection.remote.host
        self._view.record_limit(limit, f"host {host}")
        response = new_frame()
        write_permit(response.body.init("permit"), self._issue(limit, host))
        return response

    def _issue(self, limit: LimitObservation, host: str) -> Permit | None:
        """Return a permit, or ``None`` if this host may issue none."""
        if not self.count_host(host):
            return None
        now_s = boottime_s()
        newest = self._view.limits.find(limit.server, limit.started_ms, now_s)
        if newest is None:
            return GRANTED
        return self._issuer.issue(
            limit.server,
            limit.started_ms,
            newest.limit_per_s,
            len(self._view.peer_addresses),
            now_s,
        )
