"""Frames between the processes of one system, as Cap'n Proto messages.

The schema ``peer.capnp`` is loaded at run time, so the build needs no
generator. pycapnp serves as a plain codec without its own event loop. Frames
use the packed form: a reader of it owns its memory, whereas a reader of the
flat form is valid only as long as the received buffer.
"""

from __future__ import annotations

__all__ = ["MAX_FRAME_BYTES", "decode_frame", "encode_frame", "new_frame", "schema"]

from pathlib import Path
from typing import Any

import capnp

from .errors import FrameError

MAX_FRAME_BYTES = 2 * 1024 * 1024

# Bounds what a hostile message can make the decoder visit, in 8-byte words.
TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


def new_frame(request_id: int = 0) -> Any:
    """Return an empty frame builder.

    :param request_id: pairs a request with its answer; 0 for one-way.
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
            f"A frame of {len(encoded)} bytes exceeds {MAX_FRAME_BYTES}.",
            "Split the content over several frames.",
        )
    return encoded


def decode_frame(encoded: bytes) -> Any:
    """Return the frame in ``encoded``.

    :raises FrameError: the bytes are no frame, or of a kind that this release
        does not know.
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
