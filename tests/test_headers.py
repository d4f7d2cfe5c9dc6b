"""Header fields that are forwarded to the next hop."""

from multidict import CIMultiDict

from jacinthpath.headers import HOP_BY_HOP, forwarded_fields


def test_fields_named_in_connection_are_not_forwarded():
    """Guards against forwarding fields that the sender names in Connection.

    Responses need this as well as requests; only requests were filtered once.
    """
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
    forwarded = forwarded_fields(fields, HOP_BY_HOP)
    assert [*forwarded.items()] == [("Set-Cookie", "a"), ("Set-Cookie", "b")]
