"""Settings of a gateway, from the file that the platform writes."""

from __future__ import annotations

__all__ = ["METRICS_PORT", "SETTINGS_VARIABLE", "load_settings"]

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..errors import SettingsError
from ..gateway.model import GatewaySettings, Timing
from .values import MalformedValue, duration_s

SETTINGS_VARIABLE = "JACINTHPATH_SETTINGS"
METRICS_PORT = 9464
"""Port of the metrics page; the deploy file names the same."""


def load_settings(path: str) -> GatewaySettings:
    """Read and check a settings file; unknown fields are ignored.

    :raises SettingsError: the file or one of its values cannot be used.
    """
    try:
        content = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(
            path, "", f"cannot be read: {error.strerror}", "Check the path."
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(
            path, "", f"is no TOML: {error}", "Correct the file."
        ) from error
    return _Reader(path, content).settings()


class _Reader:
    """Reads values by dotted keys and names the key at fault."""

    def __init__(self, path: str, content: dict[str, Any]) -> None:
        self._path = path
        self._content = content

    def settings(self) -> GatewaySettings:
        ip = self._text("ip")
        peer_port = self._peer_port()
        return GatewaySettings(
            host=self._text("node_name"),
            data_centre=self._text("zone"),
            callers_address=self._address("listen.front"),
            ready_address=self._address("listen.ready"),
            peer_address=f"{ip}:{peer_port}",
            # "provider" is the platform's own store.
            store_address=self._address("provider.address"),
            seeds=self._seeds(peer_port),
            timing=self._timing(),
            lease_min_s=self._duration("provider.ttl_min", "1000ms"),
            metrics_address=f"{ip}:{METRICS_PORT}",
            first_start=self._value("bootstrap", False) is True,
        )

    def _timing(self) -> Timing:
        return Timing(
            drain_s=self._duration("bounds.drain"),
            grace_s=self._duration("bounds.grace"),
            max_hold_s=self._duration("bounds.hold_max", "10s"),
            retry_window_s=self._duration("bounds.retry_window", "10s"),
            retry_budget_ratio=self._number("bounds.retry_budget_ratio", 0.2),
            retry_budget_slack=self._number("bounds.retry_budget_slack", 20),
        )

    def _peer_port(self) -> int:
        value = self._value("internal_port_range")
        try:
            first, last = value
            if not 0 < first <= last < 65_536:
                raise ValueError
        except (TypeError, ValueError):
            raise self._error(
                "internal_port_range", f"is {value!r}", "Write first and last port."
            ) from None
        return int(first)

    def _seeds(self, peer_port: int) -> tuple[str, ...]:
        """Return the peers' addresses; ports are the same on all hosts."""
        seeds = self._value("seeds", [])
        hosts = (str(seed).rpartition(":")[0] for seed in seeds)
        return tuple(f"{host}:{peer_port}" for host in hosts if host)

    def _value(self, key: str, default: Any = None) -> Any:
        value: Any = self._content
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            value = default
        if value is None:
            raise self._error(key, "is missing", "Add it to the file.")
        return value

    def _text(self, key: str) -> str:
        value = self._value(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, f"is {value!r}", "Write a text.")
        return value

    def _address(self, key: str) -> str:
        value = self._text(key)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise self._error(key, f"is {value!r}", "Write IP:PORT.")
        return value

    def _duration(self, key: str, default: str | None = None) -> float:
        return self._converted(key, default, duration_s)

    def _number(self, key: str, default: float) -> float:
        return self._converted(key, default, float)

    def _converted(
        self, key: str, default: Any, convert: Callable[[Any], float]
    ) -> float:
        value = self._value(key, default)
        try:
            return convert(value)
        except (MalformedValue, TypeError, ValueError):
            remedy = "Write a number, durations with ms or s."
            raise self._error(key, f"is {value!r}", remedy) from None

    def _error(self, key: str, found: str, remedy: str) -> SettingsError:
        return SettingsError(self._path, key, found, remedy)
