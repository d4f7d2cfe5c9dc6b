"""Slice tables, which map the key space of a service to the owning servers."""

from __future__ import annotations

__all__ = ["NO_OWNER", "SliceTable", "decode_table", "encode_table"]

from collections.abc import Mapping
from typing import NamedTuple

from .codec import schema
from .errors import FrameError
from .hashing import slice_of

NO_OWNER = ""

MAX_SLICES = 65_536
MAX_HOT_KEYS = 4_096
_NO_OWNER_INDEX = 65_535


class SliceTable(NamedTuple):
    """Owners of the slices and hot keys of one service.

    :param service: service the table is for.
    :param version: increases with every change of the table.
    :param epoch: fencing epoch of the coordinator that created the table.
    :param owners: server that owns each slice, :data:`NO_OWNER` during a move.
    :param hot_keys: owning server by key hash, for keys that are placed individually.
    :param addresses: ``host:port`` of each server.
    :param coordinator: control address of the coordinator.
    :param fencing: ``server`` if the servers check grants, ``router`` if only the
        routers' sending leases keep ownership exclusive.
    """

    service: str
    version: int
    epoch: int
    owners: tuple[str, ...]
    hot_keys: Mapping[int, str]
    addresses: Mapping[str, str]
    coordinator: str = ""
    fencing: str = "server"

    def owner_of(self, hash_value: int) -> str:
        """Return the server that owns a key hash, or :data:`NO_OWNER`."""
        hot_owner = self.hot_keys.get(hash_value)
        if hot_owner is not None:
            return hot_owner
        return self.owners[slice_of(hash_value, len(self.owners))]


def encode_table(table: SliceTable) -> bytes:
    """Return a table in the encoding of a topic's content."""
    servers = sorted(
        {*table.owners, *table.hot_keys.values(), *table.addresses} - {NO_OWNER}
    )
    indices = {server: index for index, server in enumerate(servers)}
    indices[NO_OWNER] = _NO_OWNER_INDEX
    message = schema.SliceTable.new_message(
        service=table.service,
        version=table.version,
        epoch=table.epoch,
        servers=servers,
        owners=[indices[owner] for owner in table.owners],
        coordinator=table.coordinator,
        addresses=[table.addresses.get(server, "") for server in servers],
        fencing=table.fencing,
    )
    hot_keys = message.init("hotKeys", len(table.hot_keys))
    for entry, (hash_value, server) in zip(
        hot_keys, sorted(table.hot_keys.items()), strict=True
    ):
        entry.keyHash = hash_value
        entry.server = indices[server]
    return message.to_bytes_packed()


def decode_table(content: bytes) -> SliceTable:
    """Return the table that a topic's content encodes.

    :raises FrameError: the content is not a slice table, or is out of bounds.
    """
    try:
        message = schema.SliceTable.from_bytes_packed(content)
        servers = [*message.servers]
        owners = [*message.owners]
        if not 0 < len(owners) <= MAX_SLICES or len(message.hotKeys) > MAX_HOT_KEYS:
            raise ValueError("slice or hot key count out of bounds")
        names = dict(enumerate(servers))
        names[_NO_OWNER_INDEX] = NO_OWNER
        addresses = dict(zip(servers, message.addresses, strict=True))
        return SliceTable(
            service=message.service,
            version=message.version,
            epoch=message.epoch,
            owners=tuple(names[index] for index in owners),
            hot_keys={entry.keyHash: names[entry.server] for entry in message.hotKeys},
            addresses={name: address for name, address in addresses.items() if address},
            coordinator=message.coordinator,
            fencing=message.fencing or "server",
        )
    except Exception as error:
        raise FrameError(
            f"The slice table is malformed: {error}.",
            "Check the sender's software version.",
        ) from error
