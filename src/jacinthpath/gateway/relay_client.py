"""Sends requests to servers by way of another host, which has a path to them."""

from __future__ import annotations

__all__ = ["RelayClient"]

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from random import Random
from typing import Any

from ..codec import new_frame
from ..errors import FrameError, JacinthpathError
from ..peer_connections import RELAYING_RELEASE, PeerConnection, boottime_ms
from ..peers import PeerPool
from .clock import boottime_s
from .cluster_view import ClusterView
from .exchange import AttemptResult, BodyBroken, CallerRequest, Outcome
from .model import Backend
from .relay_hosts import RelayHosts
from .relay_messages import RelayReply, read_relayed, write_relay_wanted

CONNECT_TIMEOUT_S = 0.1
MAX_HOSTS_ASKED = 3
"""Hosts that are asked for one attempt, one after the other."""

MIN_REMAINING_S = 0.02
MAX_RELAYED_BODY_BYTES = 1024 * 1024
"""Longest body of a request that fits into a frame beside its header fields."""


class RelayClient:
    """Asks other hosts to send requests.

    :param address: address of this host for peers.
    """

    def __init__(
        self, address: str, pool: PeerPool, view: ClusterView, random: Random
    ) -> None:
        self._address = address
        self._pool = pool
        self._view = view
        self._hosts = RelayHosts(random)
        self._last_relay_id = 0

    def may_help(self, backend: Backend) -> bool:
        """Return whether another host may reach a server that this host does not."""
        return bool(self._peer_addresses()) and not self._hosts.is_unreachable(
            backend.server, boottime_s()
        )

    def has_peers(self) -> bool:
        """Return whether other hosts are known."""
        return bool(self._peer_addresses())

    async def send(
        self, request: CallerRequest, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send a request to a server by way of another host.

        Another one is asked only while it is certain that the request was not sent.

        :return: as from the server; ``UNREACHABLE`` if no host has sent it.
        :raises CallerLeft: the caller has left before a host was asked.
        """
        if len(request.body) > MAX_RELAYED_BODY_BYTES:
            return AttemptResult(Outcome.UNREACHABLE, "body too large to relay")
        deadline_s = boottime_s() + remaining_s
        detail = "no host to relay"
        candidates = self._peer_addresses()
        for _ in range(MAX_HOSTS_ASKED):
            address = self._hosts.choose(candidates, boottime_s())
            if address is None or deadline_s - boottime_s() < MIN_REMAINING_S:
                break
            candidates.discard(address)
            self._hosts.record_start(address)
            try:
                result = await self._ask(address, request, backend, deadline_s)
            finally:
                self._hosts.record_end(address)
            if not isinstance(result, str):
                return result
            detail = f"not relayed: {result}"
        return AttemptResult(Outcome.UNREACHABLE, detail)

    def _peer_addresses(self) -> set[str]:
        return {*self._view.peer_addresses.values()} - {self._address}

    async def _ask(
        self, address: str, request: CallerRequest, backend: Backend, deadline_s: float
    ) -> AttemptResult | str:
        """Ask one host; return why it has not sent the request if that is certain."""
        now_s = boottime_s()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._pool.connect(address)
        except (JacinthpathError, TimeoutError):
            self._hosts.record_unable(address, now_s)
            return "host unreachable"
        if connection.remote_release < RELAYING_RELEASE:
            self._hosts.record_unable(address, now_s)
            return "host of an earlier release"
        request.check_wanted()
        relay = _Relay(connection, self._next_relay_id(), deadline_s)
        try:
            # This host has used its turn at a server that it knows is cold.
            has_permit = bool(self._view.cold_rate_per_s(backend, now_s))
            reply = await relay.request(request, backend, has_permit)
        except FrameError as error:
            # The host did not accept the frame, or its handler failed on the way.
            return _lost_relay(Outcome.BROKEN, connection, error)
        except JacinthpathError as error:
            self._hosts.record_unable(address, boottime_s())
            timed_out = not connection.closed
            outcome = Outcome.TIMED_OUT if timed_out else Outcome.BROKEN
            return _lost_relay(outcome, connection, error)
        return self._evaluate(address, backend, relay, reply)

    def _evaluate(
        self, address: str, backend: Backend, relay: _Relay, reply: RelayReply
    ) -> AttemptResult | str:
        now_s = boottime_s()
        result = reply.result
        if result is None:
            if reply.host_is_unable:
                self._hosts.record_unable(address, now_s)
            return reply.refusal
        if result.outcome is Outcome.UNREACHABLE:
            if not reply.reaches_servers:
                self._hosts.record_unable(address, now_s)
                return "host reaches no server"
            self._hosts.record_unreachable(backend.server, now_s)
            return result
        self._hosts.record_success(address)
        if not reply.continues:
            return result
        if result.response is None:
            relay.end()
            return result
        stream = _RelayedBody(relay, result.response.body, reply.length)
        response = result.response._replace(body=b"", stream=stream)
        return result._replace(response=response)

    def _next_relay_id(self) -> int:
        self._last_relay_id += 1
        return self._last_relay_id


class _Relay:
    """One request at the host that relays it.

    :param deadline_s: time on the boot clock at which the caller gives up.
    """

    def __init__(
        self, connection: PeerConnection, relay_id: int, deadline_s: float
    ) -> None:
        self._deadline_s = deadline_s
        self._connection = connection
        self._relay_id = relay_id

    async def request(
        self, request: CallerRequest, backend: Backend, has_cold_permit: bool
    ) -> RelayReply:
        """Send the request, and end the relay if the caller leaves.

        :raises JacinthpathError: there is no reply; the request may have been sent.
        """
        frame = new_frame()
        content = frame.body.init("relayWanted")
        write_relay_wanted(
            content,
            self._relay_id,
            request,
            backend,
            self._remaining_s(),
            boottime_ms(),
            has_cold_permit,
        )
        try:
            response = await self._connection.request(frame, self._remaining_s())
        except BaseException:
            self.end()
            raise
        host = self._connection.remote.host
        return read_relayed(response.body.relayed, host, boottime_s())

    async def next_part(self) -> Any:
        """Return the next part of the body.

        :raises JacinthpathError: there is no reply.
        """
        frame = new_frame()
        frame.body.relayPartWanted = self._relay_id
        response = await self._connection.request(frame, self._remaining_s())
        return response.body.relayPart

    def end(self) -> None:
        """Tell the host that no more is wanted."""
        frame = new_frame()
        frame.body.relayEnded = self._relay_id
        with suppress(JacinthpathError):
            self._connection.send(frame)

    def _remaining_s(self) -> float:
        return max(0.001, self._deadline_s - boottime_s())


class _RelayedBody:
    """See :class:`jacinthpath.gateway.exchange.BodyStream`.

    Parts are requested one at a time, so neither host holds more than one.

    :param beginning: bytes of the body that have arrived already.
    """

    def __init__(self, relay: _Relay, beginning: bytes, length: int | None) -> None:
        self.length = length
        self.handle_whole: Callable[[], None] = lambda: None
        self._relay = relay
        self._beginning = beginning
        self._ended = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """See :meth:`BodyStream.__aiter__`."""
        if self._beginning:
            yield self._beginning
        while not self._ended:
            try:
                part = await self._relay.next_part()
            except JacinthpathError as error:
                raise BodyBroken(
                    f"The relaying host was lost: {error}", "Send the request again."
                ) from error
            if part.broken:
                self._ended = True
                raise BodyBroken(part.broken, "Send the request again.")
            self._ended = part.ended
            if part.ended:
                self.handle_whole()
            if part.data:
                yield bytes(part.data)

    def close(self) -> None:
        """See :meth:`BodyStream.close`."""
        if not self._ended:
            self._ended = True
            self._relay.end()


def _lost_relay(
    outcome: Outcome, connection: PeerConnection, error: JacinthpathError
) -> AttemptResult:
    """Return the result of a request that a host may have sent."""
    host = connection.remote.host
    return AttemptResult(
        outcome, f"relay lost: {error}", relayed_by=host, relay_lost=True
    )
