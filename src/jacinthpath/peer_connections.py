"""One authenticated connection between two processes of the system.

Each frame is preceded by its length (4 bytes, big-endian; the highest bit tells whether
it is compressed) and a 16-byte message authentication code over direction, frame number
and content. In the frames of the handshake the code is zero; there, proofs of the
cluster key authenticate both ends. A refused frame is counted and logged; it may close
its connection but never ends the process.
"""

from __future__ import annotations

__all__ = [
    "RELAYING_RELEASE",
    "Handler",
    "PeerConnection",
    "PeerIdentity",
    "boottime_ms",
]

import asyncio
import hashlib
import hmac
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from .codec import (
    MAX_FRAME_BYTES,
    compress_frame,
    decode_frame,
    decompress_frame,
    encode_frame,
    new_frame,
)
from .errors import AuthenticationError, FrameError, PeerUnavailable
from .frame_age import FrameAge
from .keyring import ClusterKey, KeySource
from .logs import get_logger
from .metrics import Metrics

PROTOCOL_RELEASE = 3
RELAYING_RELEASE = 2
"""Release from which on processes relay requests."""

COMPRESSING_RELEASE = 3
"""Release from which on processes read compressed frames."""

COMPRESSED_FLAG = 1 << 31

MAC_BYTES = 16
HEADER_BYTES = 4 + MAC_BYTES
MAX_HANDLERS_PER_CONNECTION = 256
REQUEST_TIMEOUT_S = 1.0

SLOW_FRAME_S = 0.1
"""A frame that takes longer from its first to its last byte is logged."""

_log = get_logger()


def boottime_ms() -> int:
    """Return the stamp of a frame: milliseconds on the boot clock, never 0."""
    return max(1, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)


class PeerIdentity(NamedTuple):
    """Identity of a process.

    :param process_id: random at each start, so a restarted process is never
        mistaken for its previous incarnation.
    :param role: ``control``, ``entry`` or ``operator``.
    """

    host: str
    data_centre: str
    role: str
    process_id: str


Handler = Callable[["PeerConnection", Any], Awaitable[Any]]
"""Called with the connection and the frame; returns the response as a frame builder,
or ``None`` for a response without content or a one-way message."""


class PeerConnection:
    """One authenticated connection; both ends may send requests.

    The connecting end uses odd request identifiers and the accepting end even
    ones, which distinguishes a response from a request of the other end.

    :ivar frame_age: estimates how old the stamped frames are that arrive.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handlers: Mapping[str, Handler],
        metrics: Metrics,
        *,
        accepting: bool,
    ) -> None:
        self.remote = PeerIdentity("", "", "", "")
        self.remote_release = 0
        self.bytes_sent = 0
        self.last_used_at_s = asyncio.get_running_loop().time()
        self.frame_age = FrameAge()
        self._reader = reader
        self._writer = writer
        self._handlers = handlers
        self._metrics = metrics
        self._accepting = accepting
        self._next_id = 2 if accepting else 1
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._session_key = b""
        self._frames_sent = 0
        self._frames_received = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._receiver: asyncio.Task[None] | None = None
        self._close_callbacks: list[Callable[[PeerConnection], None]] = []

    @property
    def socket(self) -> Any:
        """The socket of the connection, ``None`` once it is closed."""
        return self._writer.get_extra_info("socket")

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._writer.is_closing()

    def start(self) -> None:
        """Start receiving frames."""
        self._receiver = asyncio.create_task(self._receive())

    async def close(self) -> None:
        """Close the connection and fail its pending requests."""
        self._shut_down()
        if self._receiver is not None and self._receiver is not asyncio.current_task():
            self._receiver.cancel()
            await asyncio.gather(self._receiver, return_exceptions=True)

    def on_close(self, callback: Callable[[PeerConnection], None]) -> None:
        """Call ``callback`` once when the connection is closed."""
        self._close_callbacks.append(callback)

    def send(self, frame: Any) -> None:
        """Send a one-way frame."""
        if self.closed:
            raise PeerUnavailable("The connection is closed.", "Connect again.")
        self._write(encode_frame(frame))

    async def request(self, frame: Any, timeout_s: float = REQUEST_TIMEOUT_S) -> Any:
        """Send a request and return the frame with the response.

        :raises PeerUnavailable: no response came; the peer may have handled the
            request.
        :raises FrameError: the peer refused the request or its handler failed.
        """
        request_id = self._next_id
        self._next_id += 2
        frame.id = request_id
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            self.send(frame)
            async with asyncio.timeout(timeout_s):
                response = await future
        except TimeoutError:
            raise PeerUnavailable(
                f"{self.remote.host} did not respond within {timeout_s} s.",
                "Check the host and the network.",
            ) from None
        finally:
            self._pending.pop(request_id, None)
        if response.body.which() == "error":
            raise FrameError(response.body.error.message, response.body.error.kind)
        return response

    async def connect_handshake(self, identity: PeerIdentity, keys: KeySource) -> None:
        """Perform the handshake as the connecting end."""
        key = keys.active()
        nonce = secrets.token_bytes(16)
        frame = new_frame()
        hello = frame.body.init("hello")
        hello.release = PROTOCOL_RELEASE
        hello.host, hello.dataCentre = identity.host, identity.data_centre
        hello.role, hello.processId = identity.role, identity.process_id
        hello.keyId, hello.nonce = key.key_id, nonce
        hello.sentMs = boottime_ms()
        encoded_hello = encode_frame(frame)
        self._write(encoded_hello)
        response = await self._read_frame()
        if response.body.which() != "challenge":
            raise AuthenticationError(
                "The peer refused the cluster key.", "Compare the key files."
            )
        challenge = response.body.challenge
        _verify_proof(key, challenge.proof, "server", encoded_hello, challenge.nonce)
        self.remote = PeerIdentity(
            challenge.host, challenge.dataCentre, "control", challenge.processId
        )
        self.remote_release = challenge.release
        proof = new_frame()
        content = proof.body.init("proof")
        content.proof = key.sign("client", encoded_hello, challenge.nonce)
        content.sentMs = boottime_ms()
        self._write(encode_frame(proof))
        self._session_key = key.sign("session", encoded_hello, challenge.nonce)

    async def accept_handshake(self, identity: PeerIdentity, keys: KeySource) -> None:
        """Perform the handshake as the accepting end."""
        encoded_hello = await self._read_bytes()
        frame = decode_frame(encoded_hello)
        if frame.body.which() != "hello":
            raise AuthenticationError(
                "The peer sent no hello frame.", "Check which program connects here."
            )
        hello = frame.body.hello
        self._record_age(hello.sentMs)
        key = keys.find(hello.keyId)
        if key is None:
            refusal = new_frame()
            refusal.body.init("error").kind = "unknown-key"
            self._write(encode_frame(refusal))
            raise AuthenticationError(
                "The peer uses none of the accepted cluster keys.",
                "Compare security.cluster_key_files on both hosts.",
            )
        nonce = secrets.token_bytes(16)
        response = new_frame()
        challenge = response.body.init("challenge")
        challenge.nonce = nonce
        challenge.proof = key.sign("server", encoded_hello, nonce)
        challenge.host, challenge.dataCentre = identity.host, identity.data_centre
        challenge.processId, challenge.release = identity.process_id, PROTOCOL_RELEASE
        self._write(encode_frame(response))
        proof = await self._read_frame()
        if proof.body.which() != "proof":
            raise AuthenticationError(
                "The peer sent no proof of the cluster key.",
                "Check which program connects here.",
            )
        _verify_proof(key, proof.body.proof.proof, "client", encoded_hello, nonce)
        self._record_age(proof.body.proof.sentMs)
        self.remote = PeerIdentity(
            hello.host, hello.dataCentre, hello.role, hello.processId
        )
        self.remote_release = hello.release
        self._session_key = key.sign("session", encoded_hello, nonce)

    def _record_age(self, sent_ms: int) -> None:
        self.frame_age.record(sent_ms, boottime_ms() / 1000)

    def _write(self, encoded: bytes) -> None:
        compressed = None
        if self.remote_release >= COMPRESSING_RELEASE:
            compressed = compress_frame(encoded)
        flag = 0 if compressed is None else COMPRESSED_FLAG
        content = encoded if compressed is None else compressed
        mac = self._mac(self._accepting, self._frames_sent, content, bool(flag))
        self._frames_sent += 1
        self.last_used_at_s = asyncio.get_running_loop().time()
        header = (len(content) | flag).to_bytes(4, "big")
        message = b"".join((header, mac, content))
        self.bytes_sent += len(message)
        self._metrics.count("peer_sent_bytes_total", len(message))
        self._writer.write(message)

    async def _read_bytes(self) -> bytes:
        header = await self._read_exactly(HEADER_BYTES, may_end=True)
        started_s = asyncio.get_running_loop().time()
        length = int.from_bytes(header[:4], "big")
        is_compressed = bool(length & COMPRESSED_FLAG)
        length &= ~COMPRESSED_FLAG
        if is_compressed and not self._session_key:
            raise FrameError(
                "A frame of the handshake is compressed.", "Check the peer's release."
            )
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"The peer announced a frame of {length} bytes.",
                "Check the peer's release.",
            )
        encoded = await self._read_exactly(length)
        self._record_transfer(length, asyncio.get_running_loop().time() - started_s)
        mac = self._mac(
            not self._accepting, self._frames_received, encoded, is_compressed
        )
        self._frames_received += 1
        if not hmac.compare_digest(mac, header[4:]):
            raise AuthenticationError(
                "A frame has an invalid message authentication code.",
                "Check the network.",
            )
        return decompress_frame(encoded) if is_compressed else encoded

    def _record_transfer(self, length: int, duration_s: float) -> None:
        """Record how long a frame took from its first to its last byte."""
        self._metrics.observe("peer_frame_transfer_seconds", duration_s)
        if duration_s > SLOW_FRAME_S:
            _log.info(
                "peer_frame_slow",
                peer=self.remote.host,
                bytes=length,
                took_ms=round(1000 * duration_s),
            )

    async def _read_exactly(self, count: int, may_end: bool = False) -> bytes:
        """Read ``count`` bytes; ``may_end`` allows the stream to end before them."""
        try:
            return await self._reader.readexactly(count)
        except asyncio.IncompleteReadError as error:
            if may_end and not error.partial:
                raise
            raise FrameError(
                "A frame was truncated.", "Check the peer and the network."
            ) from error

    async def _read_frame(self) -> Any:
        return decode_frame(await self._read_bytes())

    def _mac(
        self, accepting: bool, number: int, content: bytes, is_compressed: bool
    ) -> bytes:
        if not self._session_key:
            return bytes(MAC_BYTES)
        direction = bytes([accepting, 1]) if is_compressed else bytes([accepting])
        digest = hashlib.blake2b(
            key=self._session_key,
            digest_size=MAC_BYTES,
            salt=number.to_bytes(8, "big") + direction,
        )
        digest.update(content)
        return digest.digest()

    async def _receive(self) -> None:
        try:
            while True:
                encoded = await self._read_bytes()
                try:
                    frame = decode_frame(encoded)
                except FrameError as error:
                    # The authentication code was valid, so a newer release sent this
                    # frame.
                    self._record_refusal("unsupported", error)
                    continue
                self._dispatch(frame)
                if len(self._tasks) >= MAX_HANDLERS_PER_CONNECTION:
                    await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except (FrameError, AuthenticationError) as error:
            self._record_refusal("invalid", error)
        except Exception as error:
            self._metrics.count("peer_handler_errors_total", kind="receive")
            _log.exception("peer_connection_failed", peer=self.remote.host)
            self._record_refusal("invalid", error)
        finally:
            self._shut_down()

    def _dispatch(self, frame: Any) -> None:
        self.last_used_at_s = asyncio.get_running_loop().time()
        own_parity = 0 if self._accepting else 1
        if frame.id and frame.id % 2 == own_parity:
            future = self._pending.get(frame.id)
            if future is not None and not future.done():
                future.set_result(frame)
            else:
                self._metrics.count("peer_responses_late_total")
            return
        task = asyncio.create_task(self._handle(frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, frame: Any) -> None:
        kind = frame.body.which()
        handler = self._handlers.get(kind)
        try:
            if handler is None:
                raise FrameError(f"Frames of kind {kind} are not handled here.")
            response = await handler(self, frame)
        except (FrameError, UnicodeDecodeError, ValueError) as error:
            self._record_refusal(kind, error)
            response = new_frame()
            content = response.body.init("error")
            content.kind, content.message = "unsupported", str(error)
        except PeerUnavailable:
            return
        except Exception:
            self._metrics.count("peer_handler_errors_total", kind=kind)
            _log.exception("peer_handler_failed", kind=kind, peer=self.remote.host)
            response = new_frame()
            response.body.init("error").message = "The handler failed; see its log."
        if not frame.id or self.closed:
            return
        if response is None:
            response = new_frame()
            response.body.done = None
        response.id = frame.id
        self._respond(kind, response)

    def _respond(self, kind: str, response: Any) -> None:
        """Send a response, or an error if it is too large for a frame."""
        try:
            encoded = encode_frame(response)
        except FrameError as error:
            self._record_refusal(kind, error)
            refusal = new_frame(response.id)
            content = refusal.body.init("error")
            content.kind, content.message = "too-large", str(error)
            encoded = encode_frame(refusal)
        self._write(encoded)

    def _record_refusal(self, reason: str, error: Exception) -> None:
        self._metrics.count("peer_frames_refused_total", reason=reason)
        _log.warning(
            "peer_frame_refused",
            reason=reason,
            peer=self.remote.host or "unknown",
            error=str(error),
        )

    def _shut_down(self) -> None:
        self._writer.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    PeerUnavailable("The connection was closed.", "Connect again.")
                )
        self._pending.clear()
        callbacks, self._close_callbacks = self._close_callbacks, []
        for callback in callbacks:
            callback(self)


def _verify_proof(key: ClusterKey, proof: bytes, purpose: str, *parts: bytes) -> None:
    if not hmac.compare_digest(key.sign(purpose, *parts), proof):
        raise AuthenticationError(
            "The peer does not hold the cluster key.",
            "Compare security.cluster_key_files on both hosts.",
        )
