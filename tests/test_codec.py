import random

import pytest

from jacinthpath.codec import MAX_FRAME_BYTES, decode_frame, encode_frame, new_frame
from jacinthpath.errors import FrameError


def make_topic_frame():
    frame = new_frame(7)
    topics = frame.body.init("publish").init("topics", 1)
    topics[0].name = "configuration"
    topics[0].version = 3
    topics[0].content = b"content"
    return frame


def test_frame_is_unchanged_by_encoding_and_decoding():
    decoded = decode_frame(encode_frame(make_topic_frame()))
    assert decoded.id == 7
    assert decoded.body.publish.topics[0].content == b"content"


def test_truncated_frame_is_refused():
    encoded = encode_frame(make_topic_frame())
    with pytest.raises(FrameError):
        decode_frame(encoded[:10])


def test_oversized_frame_is_refused():
    with pytest.raises(FrameError):
        decode_frame(b"\0" * (MAX_FRAME_BYTES + 1))


def test_mutated_frames_raise_only_frame_errors():
    """Any other exception on a hostile frame could end the process."""
    randomness = random.Random(20261204)
    encoded = encode_frame(make_topic_frame())
    for _ in range(2000):
        mutated = bytearray(encoded)
        for _ in range(randomness.randint(1, 4)):
            mutated[randomness.randrange(len(mutated))] = randomness.randrange(256)
        try:
            decode_frame(bytes(mutated))
        except FrameError:
            continue
