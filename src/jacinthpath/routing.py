"""Routing state of an entry process: configuration in force and slice tables."""

from __future__ import annotations

__all__ = ["CONFIGURATION_TOPIC", "TABLE_TOPIC_PREFIX", "RoutingState"]

import asyncio
from collections.abc import Callable

from .configuration import Configuration, parse_configuration
from .errors import ConfigurationError, FrameError
from .json_documents import parse_json
from .logs import get_logger
from .metrics import Metrics
from .slices import SliceTable, decode_table

CONFIGURATION_TOPIC = "configuration"
TABLE_TOPIC_PREFIX = "table/"

_log = get_logger()


class RoutingState:
    """Newest configuration and slice tables; versions only increase.

    A topic that cannot be decoded is refused, and the last valid one stays in force.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.configuration: Configuration | None = None
        self.tables: dict[str, SliceTable] = {}
        self._metrics = metrics
        self._changed = asyncio.Event()
        self._table_listeners: list[Callable[[SliceTable], None]] = []

    def add_table_listener(self, listener: Callable[[SliceTable], None]) -> None:
        """Register a listener that is called with each new slice table."""
        self._table_listeners.append(listener)

    def versions(self) -> dict[str, int]:
        """Return the version of each topic that is in force."""
        versions = {
            TABLE_TOPIC_PREFIX + service: table.version
            for service, table in self.tables.items()
        }
        if self.configuration is not None:
            versions[CONFIGURATION_TOPIC] = self.configuration.version
        return versions

    def apply_topic(self, name: str, version: int, content: bytes) -> bool:
        """Put a topic in force; return whether it was newer and valid."""
        if version <= self.versions().get(name, 0):
            return False
        try:
            if name == CONFIGURATION_TOPIC:
                self._apply_configuration(content)
            elif name.startswith(TABLE_TOPIC_PREFIX):
                self._apply_table(name.removeprefix(TABLE_TOPIC_PREFIX), content)
            else:
                return False
        except (ConfigurationError, FrameError, KeyError, TypeError, ValueError) as e:
            self._metrics.count("topics_refused_total", topic=name)
            _log.error("topic_refused", topic=name, version=version, error=str(e))
            return False
        self._metrics.gauge("topic_version", version, topic=name)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_for_change(self) -> None:
        """Wait until the next topic has come into force."""
        await self._changed.wait()

    def _apply_configuration(self, content: bytes) -> None:
        value = parse_json(content)
        self.configuration = parse_configuration(
            value["content"], value["version"], value["change_id"]
        )
        _log.info(
            "configuration_in_force",
            version=value["version"],
            change_id=value["change_id"],
        )

    def _apply_table(self, service: str, content: bytes) -> None:
        table = decode_table(content)
        if table.service != service:
            raise FrameError("The slice table is for another service.")
        self.tables[service] = table
        for listener in self._table_listeners:
            listener(table)
