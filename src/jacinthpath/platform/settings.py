"""Reads the settings of a gateway from the file that the platform writes."""

from __future__ import annotations

__all__ = ["METRICS_PORT", "SETTINGS_VARIABLE", "load_settings"]

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..errors import SettingsError
from ..gateway.model import GatewaySettings, Timing
from ..json_documents import UNREADABLE, describe
from .values import MalformedValue, parse_duration_s

SETTINGS_VARIABLE = "JACINTHPATH_SETTINGS"
BYTES_PER_S_OF_MBPS = 125_000
BYTES_OF_MB = 1024 * 1024
DEFAULT_LINK_MBPS = 1_000.0

METRICS_PORT = 9464
"""Port of the metrics page; deploy/system.toml names the same port."""


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
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(
            path, "", f"is not valid TOML: {error}", "Correct the file."
        ) from error
    try:
        return _SettingsReader(path, content).read()
    except UNREADABLE as error:
        raise SettingsError(path, "", describe(error), "Correct the file.") from error


class _SettingsReader:
    """Reads values by dotted keys; errors name the key."""

    def __init__(self, path: str, content: dict[str, Any]) -> None:
        self._path = path
        self._content = content

    def read(self) -> GatewaySettings:
        ip = self._get_string("ip")
        peer_port = self._read_peer_port()
        return GatewaySettings(
            host=self._get_string("node_name"),
            data_centre=self._get_string("zone"),
            callers_address=self._get_address("listen.front"),
            ready_address=self._get_address("listen.ready"),
            peer_address=f"{ip}:{peer_port}",
            # "provider" means the platform's store.
            store_address=self._get_address("provider.address"),
            seeds=self._read_seeds(peer_port),
            timing=self._read_timing(),
            lease_min_s=self._get_duration_s("provider.ttl_min", "1000ms"),
            metrics_address=f"{ip}:{METRICS_PORT}",
            first_start=self._get_value("bootstrap", False) is True,
            heartbeat_s=self._get_duration_s("heartbeat", "1s"),
            link_bytes_per_s=BYTES_PER_S_OF_MBPS
            * self._get_converted(
                "limits.link_mbps", DEFAULT_LINK_MBPS, _positive_number
            ),
            cores=self._get_converted("limits.cpu_share", 1.0, _positive_number)
            * self._get_converted("limits.cpu_cores", 1.0, _positive_number),
            memory_bytes=self._read_memory_bytes(),
        )

    def _read_timing(self) -> Timing:
        return Timing(
            drain_s=self._get_duration_s("bounds.drain"),
            # Missing in earlier deployments, whose operators evacuate nothing.
            evacuation_s=self._get_duration_s("bounds.evacuation", "0s"),
            grace_s=self._get_duration_s("bounds.grace"),
            max_hold_s=self._get_duration_s("bounds.hold_max", "10s"),
            retry_window_s=self._get_duration_s("bounds.retry_window", "10s"),
            retry_budget_ratio=self._get_number("bounds.retry_budget_ratio", 0.2),
            retry_budget_slack=self._get_number("bounds.retry_budget_slack", 20),
        )

    def _read_memory_bytes(self) -> int:
        if self._get_value("limits.memory_mb", "") == "":
            return 0
        memory_mb = self._get_converted("limits.memory_mb", None, _positive_number)
        return int(BYTES_OF_MB * memory_mb)

    def _read_peer_port(self) -> int:
        value = self._get_value("internal_port_range")
        try:
            first, last = value
            if not 0 < first <= last < 65_536:
                raise ValueError
        except (TypeError, ValueError):
            raise self._error(
                "internal_port_range",
                f"is {describe(value)}",
                "Write the first and the last port.",
            ) from None
        return int(first)

    def _read_seeds(self, peer_port: int) -> tuple[str, ...]:
        """Return the peer addresses of the seeds; all hosts use the same peer port."""
        seeds = self._get_value("seeds", [])
        hosts = (str(seed).rpartition(":")[0] for seed in seeds)
        return tuple(f"{host}:{peer_port}" for host in hosts if host)

    def _get_value(self, key: str, default: Any = None) -> Any:
        value: Any = self._content
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            value = default
        if value is None:
            raise self._error(key, "is missing", "Add it to the file.")
        return value

    def _get_string(self, key: str) -> str:
        value = self._get_value(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, f"is {describe(value)}", "Write a non-empty string.")
        return value

    def _get_address(self, key: str) -> str:
        value = self._get_string(key)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise self._error(key, f"is {describe(value)}", "Write IP:PORT.")
        return value

    def _get_duration_s(self, key: str, default: str | None = None) -> float:
        return self._get_converted(key, default, parse_duration_s)

    def _get_number(self, key: str, default: float) -> float:
        return self._get_converted(key, default, float)

    def _get_converted(
        self, key: str, default: Any, convert: Callable[[Any], float]
    ) -> float:
        value = self._get_value(key, default)
        try:
            return convert(value)
        except (MalformedValue, TypeError, ValueError):
            remedy = "Write a number; a duration needs the unit ms or s."
            raise self._error(key, f"is {describe(value)}", remedy) from None

    def _error(self, key: str, found: str, remedy: str) -> SettingsError:
        return SettingsError(self._path, key, found, remedy)


def _positive_number(value: Any) -> float:
    number = float(value)
    if not 0 < number < float("inf"):
        raise ValueError(f"{number} is not a positive number")
    return number
