"""Sends requests of hosts that have no path to a server."""

from __future__ import annotations

__all__ = ["RelayServer"]

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

from ..codec import new_frame
from ..errors import FrameError
from ..peer_connections import PeerConnection
from .attempt_sender import AttemptSender
from .body_memory import BodyMemory
from .clock import boottime_s
from .exchange import (
    AttemptResult,
    BodyBroken,
    BodyStream,
    CallerLeft,
    CallerRequest,
    NotSent,
)
from .loop_delay import loop_delay_of
from .model import Backend, Service
from .owner_lookup import DRAIN_USE_RATIO
from .pool import connection_limit
from .relay_messages import (
    Refusal,
    RelayTarget,
    read_relay_wanted,
    write_refusal,
    write_relayed,
)
from .request_dependencies import RequestDependencies
from .server_reach import Reach
from .sockets import is_closed_by_peer

MAX_RELAYS = 64
"""Relays in progress at a time; each may hold a part of a body."""

PASSES_UNTIL_HANDLED = 2
"""Passes of the event loop from reading a frame until its handler starts."""

MAX_RELAY_AGE_S = 0.2
"""A request that was sent to this host longer ago is refused: the frame that says that
its caller has left may lie behind it."""

HOST_LATE = Refusal("host-late")
"""Concerns this request alone: the host may be prompt again in its next pass."""

END_MARGIN_S = 0.2
"""Time after the caller's deadline at which an abandoned relay is ended."""


class _Relay:
    """One relayed request, from its arrival to the end of its response.

    :ivar parts: parts of a large body that the other host still has to request.
    """

    def __init__(self, task: asyncio.Task[Any]) -> None:
        self.parts: AsyncIterator[bytes] | None = None
        self._task = task
        self._stream: BodyStream | None = None
        self._timer: asyncio.TimerHandle | None = None

    def keep(self, stream: BodyStream, timer: asyncio.TimerHandle) -> None:
        """Keep a large body until it was requested whole, or the timer ends it."""
        self._stream, self._timer = stream, timer
        self.parts = aiter(stream)

    def close(self) -> None:
        """Cancel the attempt, or close the connection of the body."""
        if self._timer is not None:
            self._timer.cancel()
        if self._stream is not None:
            self._stream.close()
        elif not self._task.done():
            self._task.cancel()


class RelayServer:
    """Handles the frames of hosts that have requests relayed.

    A relayed request goes to the server that it names or to none, and is not relayed
    again. The other host decides on retries and limits, and answers the caller.

    :param drain_s: time for which a draining server still accepts requests.
    :param memory: counts the bodies that this host holds.
    :ivar draining: returns whether this host takes no more relays.
    """

    def __init__(
        self, dependencies: RequestDependencies, drain_s: float, memory: BodyMemory
    ) -> None:
        self.draining: Callable[[], bool] = lambda: False
        self._dependencies = dependencies
        self._drain_s = drain_s
        self._memory = memory
        self._relays: dict[tuple[PeerConnection, int], _Relay] = {}
        self._connections: set[PeerConnection] = set()

    @property
    def in_progress(self) -> int:
        """Number of relays that have not ended."""
        return len(self._relays)

    async def handle_relay_wanted(self, connection: PeerConnection, frame: Any) -> Any:
        """Send a request to its server, and reply with the result."""
        wanted = frame.body.relayWanted
        loop = asyncio.get_running_loop()
        age_s = self._age_s(connection, wanted.sentMs)
        self._dependencies.metrics.observe("relay_age_seconds", age_s)
        relay_id = connection, wanted.relayId
        target, request = read_relay_wanted(
            wanted,
            loop.time() - age_s,
            boottime_s() - age_s,
            lambda: self._check_wanted(relay_id),
        )
        backend = self._dependencies.view.directory.find(target.server)
        refusal = HOST_LATE
        if age_s <= MAX_RELAY_AGE_S:
            refusal = self._find_refusal(target, backend)
        if refusal is not None:
            return self._refuse(refusal)
        relay = self._relays[relay_id] = _Relay(asyncio.current_task())
        self._follow(connection)
        held_bytes = self._memory.add_request(len(request.body))
        try:
            result = await self._send(request, backend, request.timeout_s - age_s)
            if not result.was_sent:
                return self._refuse(HOST_LATE)
            reply = self._reply(result)
            if result.response is not None and result.response.stream is not None:
                timer = loop.call_later(
                    request.timeout_s + END_MARGIN_S, self._end, relay_id
                )
                relay.keep(result.response.stream, timer)
            return reply
        finally:
            self._memory.release(held_bytes)
            if relay.parts is None:
                self._relays.pop(relay_id, None)

    def _age_s(self, connection: PeerConnection, sent_ms: int) -> float:
        """Return how long ago a frame was sent that is being handled.

        A frame of an earlier build has no stamp; what is known of it is since when it
        may have been here.
        """
        now_s = boottime_s()
        age_s = connection.frame_age.record(sent_ms, now_s)
        if age_s is None:
            delay = loop_delay_of(asyncio.get_running_loop())
            age_s = now_s - delay.earliest_arrival_s(PASSES_UNTIL_HANDLED)
        return age_s

    def _check_wanted(self, relay_id: tuple[PeerConnection, int]) -> None:
        """Check just before a request is sent whether its caller may still be there.

        :raises CallerLeft: the relay has ended, or the host that asked for it is lost.
        :raises NotSent: a frame that ends the relay may have arrived meanwhile.
        """
        if relay_id not in self._relays or is_closed_by_peer(relay_id[0].socket):
            raise CallerLeft("The relay has ended.")
        delay = loop_delay_of(asyncio.get_running_loop())
        if delay.since_poll_s() > MAX_RELAY_AGE_S:
            raise NotSent("The event loop is late.")

    async def handle_part_wanted(self, connection: PeerConnection, frame: Any) -> Any:
        """Reply with the next part of a large body.

        :raises FrameError: there is no such relay.
        """
        relay_id = connection, frame.body.relayPartWanted
        relay = self._relays.get(relay_id)
        if relay is None or relay.parts is None:
            raise FrameError("There is no such relay.", "Send the request again.")
        reply = new_frame()
        part = reply.body.init("relayPart")
        try:
            part.data = await anext(relay.parts)
        except StopAsyncIteration:
            part.ended = True
        except BodyBroken as error:
            part.broken = str(error)
        if part.ended or part.broken:
            self._end(relay_id)
        return reply

    async def handle_relay_ended(self, connection: PeerConnection, frame: Any) -> None:
        """Give up a request whose caller has left."""
        self._end((connection, frame.body.relayEnded))

    async def _send(
        self, request: CallerRequest, backend: Backend, remaining_s: float
    ) -> AttemptResult:
        """Send the request on this host's own path."""
        service = self._service_of(backend)
        sender = AttemptSender(self._dependencies, request, service, may_relay=False)
        result = await sender.send(1, backend, remaining_s)
        self._dependencies.metrics.count("relays_total", result=result.outcome.value)
        return result

    def _refuse(self, refusal: Refusal) -> Any:
        self._dependencies.metrics.count("relays_total", result="refused")
        reply = new_frame()
        write_refusal(reply.body.init("relayed"), refusal)
        return reply

    def _reply(self, result: AttemptResult) -> Any:
        reply = new_frame()
        reaches_servers = self._dependencies.reach.state() is Reach.REACHED
        write_relayed(reply.body.init("relayed"), result, reaches_servers)
        return reply

    def _service_of(self, backend: Backend) -> Service | None:
        routes = self._dependencies.view.routes
        return routes.table.services.get(backend.service) if routes else None

    def _find_refusal(
        self, target: RelayTarget, backend: Backend | None
    ) -> Refusal | None:
        """Return why a request is not sent, or ``None`` if it is."""
        if self.draining():
            return Refusal("host-leaving", True)
        if len(self._relays) >= MAX_RELAYS:
            return Refusal("host-busy", True)
        if self._memory.refuses_requests:
            return Refusal("host-memory-short", True)
        if self._dependencies.reach.is_cut_off():
            return Refusal("host-cut-off", True)
        if backend is None or backend.started_ms != target.started_ms:
            return Refusal("unknown-server")
        service = self._service_of(backend)
        if service is None:
            return Refusal("unknown-service")
        return self._find_server_refusal(target, backend, service)

    def _find_server_refusal(
        self, target: RelayTarget, backend: Backend, service: Service
    ) -> Refusal | None:
        """Return why nothing more is sent to a server, or ``None``."""
        view, pool = self._dependencies.view, self._dependencies.pool
        now_s = boottime_s()
        since_s = view.directory.draining_since_s.get(backend.server)
        if since_s is not None and now_s - since_s > DRAIN_USE_RATIO * self._drain_s:
            return Refusal("server-draining")
        evacuated = view.evacuated
        if evacuated.is_closed(backend.data_centre, now_s) or (
            not service.keyed and backend.data_centre in evacuated
        ):
            return Refusal("server-evacuated")
        pause_s = pool.pause_left_s(backend, now_s)
        if pause_s:
            return Refusal("server-paused", pause_s=pause_s)
        limit = connection_limit(service, len(view.peer_addresses))
        if pool.in_flight(backend) >= min(limit, pool.window(backend)):
            return Refusal("connections-in-use")
        if not target.has_cold_permit:
            # The other host has not heard that the server is cold.
            permit = self._dependencies.cold_limiter.acquire(backend)
            if not permit.granted:
                return Refusal("server-cold")
        return None

    def _follow(self, connection: PeerConnection) -> None:
        """End the relays of a connection when it closes."""
        if connection in self._connections:
            return
        self._connections.add(connection)
        connection.on_close(self._end_all_of)

    def _end_all_of(self, connection: PeerConnection) -> None:
        self._connections.discard(connection)
        for relay_id in [*self._relays]:
            if relay_id[0] is connection:
                self._end(relay_id)

    def _end(self, relay_id: tuple[PeerConnection, int]) -> None:
        relay = self._relays.pop(relay_id, None)
        if relay is not None:
            relay.close()
