"""Frames between the processes of one system, as Cap'n Proto messages.

The schema ``peer.capnp`` is loaded at run time, so the build needs no code
generator. pycapnp serves only as a codec, without its event loop. Frames use the
packed encoding: its reader owns its memory, whereas a reader of the unpacked
encoding is valid only as long as the received buffer.
"""

from __future__ import annotations

__all__ = [
    "MAX_FRAME_BYTES",
    "compress_frame",
    "decode_frame",
    "decompress_frame",
    "encode_frame",
    "fits_frame",
    "new_frame",
    "schema",
]

import zlib
from pathlib import Path
from typing import Any

import capnp

from .errors import FrameError

MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_PACKED_WORD_BYTES = 10
"""The packed encoding adds up to two bytes to a word of eight."""

MIN_COMPRESSED_BYTES = 1_024
MAX_COMPRESSED_BYTES = 256 * 1024
"""Compressing a larger frame would hold up the event loop for milliseconds."""

# Limits how much data a hostile message can make the decoder traverse, in 8-byte
# words.
TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


def new_frame(request_id: int = 0) -> Any:
    """Return an empty frame builder.

    :param request_id: matches a response to its request; 0 for a one-way frame.
    """
    return schema.Frame.new_message(id=request_id)


def encode_frame(frame: Any) -> bytes:
    """Return the bytes of a frame.

    :raises FrameError: the frame is larger than :data:`MAX_FRAME_BYTES`.
    """
    encoded = frame.to_bytes_packed()
    frame.clear_write_flag()
    if len(encoded) > MAX_FRAME_BYTES:
        raise FrameError(
            f"A frame of {len(encoded)} bytes exceeds the limit of {MAX_FRAME_BYTES}.",
            "Split the content over several frames.",
        )
    return encoded


def fits_frame(frame: Any) -> bool:
    """Return whether a frame is certainly within :data:`MAX_FRAME_BYTES`."""
    return frame.total_size.word_count * MAX_PACKED_WORD_BYTES <= MAX_FRAME_BYTES


def decode_frame(encoded: bytes) -> Any:
    """Return the frame in ``encoded``.

    :raises FrameError: the bytes are not a frame, or are one of a kind that is
        unknown to this release.
    """
    if len(encoded) > MAX_FRAME_BYTES:
        raise FrameError("The frame is too large.", "Check the peer's release.")
    try:
        reader = schema.Frame.from_bytes_packed(
            encoded, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
    except Exception as error:
        raise FrameError(
            "The frame is malformed.", "Check the peer's release."
        ) from error
    try:
        reader.body.which()
    except Exception as error:
        raise FrameError(
            "The frame is of an unknown kind.", "Upgrade the older host."
        ) from error
    return reader


def compress_frame(encoded: bytes) -> bytes | None:
    """Return the bytes of a frame compressed, ``None`` if that is not worth it."""
    if not MIN_COMPRESSED_BYTES <= len(encoded) <= MAX_COMPRESSED_BYTES:
        return None
    compressed = zlib.compress(encoded, level=1)
    return compressed if len(compressed) < len(encoded) else None


def decompress_frame(compressed: bytes) -> bytes:
    """Return the bytes of a frame that :func:`compress_frame` has compressed.

    :raises FrameError: they are damaged, or those of a frame that is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(compressed, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError(
            "A compressed frame is malformed.", "Check the peer's release."
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise FrameError(
            "A compressed frame has another length than it should.",
            "Check the peer's release.",
        )
    return encoded
