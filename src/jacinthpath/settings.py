"""Process settings in TOML, validated completely before any socket listens.

Settings define where a process runs and what it connects to. The policies for
requests are part of the operators' configuration, which is kept in the store.
"""

from __future__ import annotations

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "ListenSettings",
    "ObservabilitySettings",
    "PlatformSettings",
    "ProcessSettings",
    "SecuritySettings",
    "describe_settings",
    "load_control_settings",
    "load_entry_settings",
]

import difflib
import inspect
import ipaddress
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_type_hints

from .errors import SettingsError

T = TypeVar("T")


class ProcessSettings(NamedTuple):
    """Identity and location of the process.

    :param host: name of the host, unique in the system.
    :param data_centre: data centre of the host.
    :param region: region of the data centre.
    :param data_centres: all data centres of the system, the same on every host;
        coordinators compute majorities over them.
    """

    host: str
    data_centre: str
    region: str = "default"
    data_centres: tuple[str, ...] = ()


class ListenSettings(NamedTuple):
    """Addresses on which the process listens, as ``IP:port``.

    :param callers_address: HTTP requests of callers; entry processes only.
    :param peer_address: connections of other processes of the system; control
        processes only.
    :param admin_address: health, readiness and metrics.
    """

    admin_address: str
    callers_address: str = ""
    peer_address: str = ""


class PlatformSettings(NamedTuple):
    """Services of the platform; control processes only.

    :param store_url: key-value service.
    :param host_list_url: list of live and leaving hosts.
    :param call_timeout_ms: timeout of a call to the store.
    """

    store_url: str
    host_list_url: str
    call_timeout_ms: int = 400


class SecuritySettings(NamedTuple):
    """Keys with which processes of the system authenticate to each other.

    :param cluster_key_files: files with one key each; the first one is used to
        connect, all are accepted, so keys can be rotated one host at a time.
        The files are reloaded when they change.
    """

    cluster_key_files: tuple[str, ...]


class ObservabilitySettings(NamedTuple):
    """Logs and traces.

    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    :param otlp_url: OTLP/HTTP address for spans; empty to export none.
    :param trace_sample_rate: fraction of requests without trace context that are
        sampled, 0 to 1.
    """

    log_level: str = "info"
    otlp_url: str = ""
    trace_sample_rate: float = 0.0


class EntryLimits(NamedTuple):
    """Limits on requests from callers and on shutdown.

    :param header_bytes: maximum size of a header field of a request.
    :param body_bytes: maximum size of a request body.
    :param requests_in_flight: requests accepted concurrently, queued ones included.
    :param body_idle_timeout_s: maximum pause within a request body.
    :param shutdown_limit_s: maximum duration of a graceful shutdown.
    """

    header_bytes: int = 8_190
    body_bytes: int = 64 * 1024 * 1024
    requests_in_flight: int = 4_096
    body_idle_timeout_s: float = 30.0
    shutdown_limit_s: float = 30.0


class EntrySettings(NamedTuple):
    """Settings of an entry process.

    :param control_addresses: control processes, the one on the same host first.
    :param staleness_limit_s: time without a confirmation that the
        configuration is current after which the process becomes unready.
    """

    process: ProcessSettings
    listen: ListenSettings
    control_addresses: tuple[str, ...]
    security: SecuritySettings
    limits: EntryLimits = EntryLimits()
    observability: ObservabilitySettings = ObservabilitySettings()
    staleness_limit_s: float = 5.0


class ControlSettings(NamedTuple):
    """Settings of a control process.

    :param vouch_min_uptime_s: uptime from which the process may vouch for a
        coordinator. Longer than the lag of the host list, so that the list
        that a successor reads contains every process that may vouch.
    :param staleness_limit_s: time without a confirmation that the
        configuration is current after which the host becomes unready.
    :param shutdown_limit_s: maximum duration of a graceful shutdown.
    """

    process: ProcessSettings
    listen: ListenSettings
    platform: PlatformSettings
    security: SecuritySettings
    observability: ObservabilitySettings = ObservabilitySettings()
    vouch_min_uptime_s: float = 60.0
    staleness_limit_s: float = 5.0
    shutdown_limit_s: float = 10.0


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Read and check the settings of an entry process.

    :raises SettingsError: the file cannot be used; names the key and remedy.
    """
    settings = _load(path, EntrySettings)
    if not settings.listen.callers_address:
        raise _missing_address_error(
            path, "callers", "callers_address", "127.0.0.1:8080"
        )
    return settings


def load_control_settings(path: str | Path) -> ControlSettings:
    """Read and check the settings of a control process.

    :raises SettingsError: the file cannot be used; names the key and remedy.
    """
    settings = _load(path, ControlSettings)
    if not settings.listen.peer_address:
        raise _missing_address_error(path, "peers", "peer_address", "127.0.0.1:7000")
    return settings


class SettingDescription(NamedTuple):
    """One row of the settings reference."""

    key: str
    type_name: str
    default: str
    meaning: str


def describe_settings(
    settings_type: type, prefix: str = ""
) -> Iterator[SettingDescription]:
    """Yield a description of each setting, for the reference.

    :param settings_type: :class:`EntrySettings` or :class:`ControlSettings`.
    :param prefix: dotted key of the table that ``settings_type`` describes.
    """
    meanings = _param_descriptions(settings_type)
    for name, hint in get_type_hints(settings_type).items():
        if hasattr(hint, "_fields"):
            yield from describe_settings(hint, f"{prefix}{name}.")
            continue
        default = "required"
        if name in settings_type._field_defaults:
            default = f"`{settings_type._field_defaults[name]!r}`"
        yield SettingDescription(
            prefix + name, _type_name(hint), default, meanings.get(name, "")
        )


def _param_descriptions(settings_type: type) -> dict[str, str]:
    """Return the ``:param`` descriptions of a docstring, each on one line."""
    texts = {}
    for part in inspect.getdoc(settings_type).split(":param ")[1:]:
        name, _, text = part.partition(":")
        texts[name] = " ".join(text.split()).replace("``", "`")
    return texts


def _missing_address_error(
    path: str | Path, clients: str, name: str, example: str
) -> SettingsError:
    remedy = f'Add the address for {clients}, such as {name} = "{example}".'
    return SettingsError(str(path), f"listen.{name}", "missing", remedy)


def _load(path: str | Path, settings_type: type[T]) -> T:
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(
            str(path),
            "",
            f"cannot be read ({error.strerror})",
            "Check the path.",
        ) from error
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(
            str(path), "", f"is not valid TOML ({error})", "Correct the syntax."
        ) from error
    return _build(str(path), "", settings_type, document)


def _build(path: str, prefix: str, settings_type: Any, table: Mapping[str, Any]) -> Any:
    hints = get_type_hints(settings_type)
    for key in table:
        if key not in hints:
            raise _unknown_key_error(path, prefix, key, hints)
    values = {}
    for name, hint in hints.items():
        dotted_key = f"{prefix}{name}"
        if name in table:
            values[name] = _read_value(path, dotted_key, hint, table[name])
        elif name not in settings_type._field_defaults:
            raise SettingsError(
                path, dotted_key, "missing", f"Add it as a {_type_name(hint)}."
            )
    return settings_type(**values)


def _unknown_key_error(
    path: str, prefix: str, key: str, hints: Mapping[str, Any]
) -> SettingsError:
    for name in hints:
        stem, _, unit = name.rpartition("_")
        if stem == key and unit in {"s", "ms", "bytes"}:
            return SettingsError(path, prefix + key, "has no unit", f"Write {name!r}.")
    close = difflib.get_close_matches(key, hints, n=1)
    known = ", ".join(hints)
    remedy = f"Did you mean {close[0]!r}?" if close else f"Use one of: {known}."
    return SettingsError(path, prefix + key, "unknown key", remedy)


def _read_value(path: str, dotted_key: str, hint: Any, value: Any) -> Any:
    if hasattr(hint, "_fields"):
        if not isinstance(value, dict):
            raise SettingsError(
                path, dotted_key, "not a table", f"Write [{dotted_key}]."
            )
        return _build(path, f"{dotted_key}.", hint, value)
    value = _read_scalar(path, dotted_key, hint, value)
    _check_constraints(path, dotted_key, value)
    return value


def _read_scalar(path: str, dotted_key: str, hint: Any, value: Any) -> Any:
    if hint is float and type(value) is int:
        return float(value)
    if hint == tuple[str, ...]:
        if isinstance(value, list) and value and all(map(_is_nonempty_string, value)):
            return tuple(value)
    elif type(value) is hint:
        return value
    raise SettingsError(
        path,
        dotted_key,
        f"{value!r} is a {type(value).__name__}",
        f"Write a {_type_name(hint)}.",
    )


def _check_constraints(path: str, dotted_key: str, value: Any) -> None:
    name = dotted_key.rpartition(".")[2]
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        upper = 1.0 if name.endswith("_rate") else float("inf")
        lower_excluded = not name.endswith("_rate")
        if value < 0 or value > upper or (lower_excluded and value == 0):
            raise SettingsError(
                path,
                dotted_key,
                f"{value} is out of range",
                "Write a number from 0 to 1."
                if upper == 1.0
                else "Write a number above 0.",
            )
    if name.endswith("_address") and value:
        _check_address(path, dotted_key, value)
    if name == "control_addresses":
        for address in value:
            _check_address(path, dotted_key, address)
    if name == "log_level" and value not in {"debug", "info", "warning", "error"}:
        raise SettingsError(
            path,
            dotted_key,
            f"{value!r} is not a log level",
            "Use debug, info, warning or error.",
        )
    if name in {"host", "data_centre", "region"} and not value:
        raise SettingsError(path, dotted_key, "empty", "Write a name.")


def _check_address(path: str, dotted_key: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise SettingsError(
            path,
            dotted_key,
            f"{value!r} is not an IP:port address",
            'Write an IP address and a port, such as "127.0.0.1:7000".',
        )


def _is_nonempty_string(value: object) -> bool:
    return isinstance(value, str) and bool(value)


def _type_name(hint: Any) -> str:
    names = {str: "string", int: "whole number", float: "number"}
    if hint == tuple[str, ...]:
        return "list of strings"
    return names.get(hint, "table")
