"""Differences between two configurations, by the names of their entries."""

from __future__ import annotations

__all__ = ["Difference", "Entries", "compare_entries", "split_entries", "unique_name"]

import math
from collections.abc import Container, Iterator, Mapping
from typing import Any, NamedTuple

Entries = Mapping[str, Mapping[str, Any]]
"""Fields of each entry, such as a service or an endpoint, by the entry's name."""


class Difference(NamedTuple):
    """One entry that was added or removed, or one field that was changed.

    :param change: ``added``, ``removed`` or ``changed``.
    :param field: the changed field; empty for a whole entry.
    :param old: old value, or fields of a removed entry; ``None`` if there was none.
    :param new: new value, or fields of an added entry; ``None`` if there is none.
    """

    change: str
    entry: str
    field: str
    old: Any
    new: Any


def compare_entries(old: Entries, new: Entries) -> list[Difference]:
    """Return the differences by name of entry and field."""
    return [
        difference
        for entry in sorted({*old, *new})
        for difference in _compare_entry(entry, old.get(entry), new.get(entry))
    ]


def split_entries(document: Mapping[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the entries of a TOML document.

    Each table is an entry, and so is each table in a list: endpoints by the name of
    the server, rules by method and path. Since the first rule that matches a request
    applies, their order is a field of the service.
    """
    return dict(_iter_entries((), document))


def unique_name(name: str, taken: Container[str]) -> str:
    """Return a name, with a number if it is taken already."""
    unique, count = name, 1
    while unique in taken:
        count += 1
        unique = f"{name} ({count})"
    return unique


def _compare_entry(
    entry: str, old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> Iterator[Difference]:
    if old is None or new is None:
        change = "added" if old is None else "removed"
        yield Difference(change, entry, "", _plain(old), _plain(new))
        return
    for field in sorted({*old, *new}):
        before, after = _plain(old.get(field)), _plain(new.get(field))
        # Unlike the values, their text tells 1 from 1.0 and True.
        if repr(before) != repr(after):
            yield Difference("changed", entry, field, before, after)


def _iter_entries(
    path: tuple[str, ...], table: Mapping[str, Any]
) -> Iterator[tuple[str, dict[str, Any]]]:
    fields = {}
    tables: list[tuple[tuple[str, ...], Mapping[str, Any]]] = []
    for key, value in table.items():
        if isinstance(value, dict):
            tables.append(((*path, key), value))
        elif _is_table_list(value):
            named = _name_items(key, value)
            tables += [((*path, key, name), item) for name, item in named.items()]
            if key == "rules":
                fields["order of rules"] = [*named]
        else:
            fields[key] = value
    if path and (fields or not tables):
        yield ".".join(path), fields
    for inner_path, inner in tables:
        yield from _iter_entries(inner_path, inner)


def _is_table_list(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )


def _name_items(key: str, items: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return the tables of a list by name; a repeated name gets a number."""
    named: dict[str, dict[str, Any]] = {}
    for item in items:
        if key == "rules":
            name = f"{item.get('method', '*')} {item.get('path', '')}"
        else:
            name = str(item.get("server", ""))
        named[unique_name(name, named)] = item
    return named


def _plain(value: Any) -> Any:
    """Return a value as JSON can represent it; others become text."""
    if isinstance(value, Mapping):
        return {key: _plain(inner) for key, inner in sorted(value.items())}
    if isinstance(value, list):
        return [_plain(inner) for inner in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if value is None or isinstance(value, (str, int, float)):
        return value
    return str(value)
