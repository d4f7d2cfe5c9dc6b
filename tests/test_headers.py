"""Header fields that are passed on to the next hop."""

from multidict import CIMultiDict

from jacinthpath.headers import HOP_BY_HOP, forwarded_fields


def test_fields_of_one_connection_are_not_passed_on():
    """A field that the sender names in Connection reached the other side of the
    product's own path with answers, though not with requests."""
    fields = CIMultiDict(
        [
            ("Connection", "close, X-Hop"),
            ("Connection", "x-second"),
            ("X-Hop", "1"),
            ("X-Second", "2"),
            ("Keep-Alive", "timeout=5"),
            ("Set-Cookie", "a"),
            ("Set-Cookie", "b"),
        ]
    )
    passed = forwarded_fields(fields, HOP_BY_HOP)
    assert [*passed.items()] == [("Set-Cookie", "a"), ("Set-Cookie", "b")]
