"""The leader's record in the store."""

from __future__ import annotations

__all__ = ["LeaderRecord", "decode_leader_record", "encode_leader_record"]

import json
from typing import NamedTuple

from ..json_documents import check_address, check_text, parse_json


class LeaderRecord(NamedTuple):
    """Who leads.

    :param address: where peers reach the leader.
    :param process_id: random id of the process, new at each start.
    :param revision: revision of the record in the store.
    """

    host: str
    address: str
    process_id: str
    revision: int


def encode_leader_record(host: str, address: str, process_id: str) -> bytes:
    """Return the stored form."""
    record = {"host": host, "address": address, "process": process_id}
    return json.dumps(record).encode()


def decode_leader_record(content: bytes, revision: int) -> LeaderRecord:
    """Decode the stored form.

    :raises ValueError, LookupError, TypeError: it is malformed.
    """
    record = parse_json(content)
    return LeaderRecord(
        check_text(record["host"]),
        check_address(record["address"]),
        check_text(record["process"]),
        revision,
    )
