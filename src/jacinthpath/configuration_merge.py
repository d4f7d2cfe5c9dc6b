"""Three-way merge of configuration documents by template and account.

The merge works on the text, so comments are preserved, and is then verified on
the parsed documents: a text that cannot be split cleanly by unit becomes a
conflict and never a wrong merge.
"""

from __future__ import annotations

__all__ = ["MergeResult", "changed_units", "merge_documents"]

from collections.abc import Mapping
from typing import Any, NamedTuple

from .configuration import read_document
from .configuration_lines import Path
from .errors import ConfigurationError

UNIT_TABLES = ("templates", "accounts")
WHOLE_DOCUMENT = "the whole document"


class MergeResult(NamedTuple):
    """Result of a merge.

    :param text: the merged document; empty if there are conflicts.
    :param conflicts: units that both sides changed differently.
    """

    text: str
    conflicts: tuple[str, ...] = ()


def changed_units(old: str, new: str) -> tuple[str, ...]:
    """Return the names of the templates and accounts that differ, sorted."""
    before, after = (
        _split_units(read_document(old)[0]),
        _split_units(read_document(new)[0]),
    )
    names = before.keys() | after.keys()
    return tuple(
        sorted(
            _unit_name(name) for name in names if before.get(name) != after.get(name)
        )
    )


def merge_documents(base: str, theirs: str, mine: str) -> MergeResult:
    """Merge two changes based on the same document.

    :param base: document that both changes are based on.
    :param theirs: document that was accepted in the meantime.
    :param mine: document to apply now.
    :raises ConfigurationError: one of the documents is not valid TOML.
    """
    if theirs == base or theirs == mine:
        return MergeResult(mine)
    parsed = [_split_units(read_document(text)[0]) for text in (base, theirs, mine)]
    expected, conflicts = _merge_maps(*parsed)
    if conflicts:
        return MergeResult("", tuple(sorted(_unit_name(name) for name in conflicts)))
    blocks = [_split_blocks(text) for text in (base, theirs, mine)]
    merged, block_conflicts = _merge_maps(*blocks)
    for name in block_conflicts:
        # Both texts changed but the parsed units do not conflict: my text is
        # taken if it changes more than comments.
        changed = [side.get(name) != parsed[0].get(name) for side in parsed[1:]]
        merged[name] = blocks[2 if changed[1] else 1].get(name, "")
    text = "".join(merged.values())
    try:
        verified = _split_units(read_document(text)[0]) == expected
    except ConfigurationError:
        verified = False
    return MergeResult(text) if verified else MergeResult("", (WHOLE_DOCUMENT,))


def _merge_maps(
    base: Mapping[Path, Any], theirs: Mapping[Path, Any], mine: Mapping[Path, Any]
) -> tuple[dict[Path, Any], list[Path]]:
    merged, conflicts = {}, []
    for name in dict.fromkeys((*theirs, *mine, *base)):
        base_value, their_value, my_value = (
            base.get(name),
            theirs.get(name),
            mine.get(name),
        )
        if my_value not in (base_value, their_value) and their_value != base_value:
            conflicts.append(name)
            continue
        value = their_value if my_value == base_value else my_value
        if value is not None:
            merged[name] = value
    return merged, conflicts


def _split_units(document: Mapping[str, Any]) -> dict[Path, Any]:
    units: dict[Path, Any] = {}
    for key, value in document.items():
        if key in UNIT_TABLES and isinstance(value, dict):
            units.update(((key, name), content) for name, content in value.items())
        else:
            units[key,] = value
    return units


def _unit_name(path: Path) -> str:
    return ".".join(str(part) for part in path)


def _is_blank_or_comment(line: str) -> bool:
    return not line.strip() or line.startswith("#")


def _split_blocks(text: str) -> dict[Path, str]:
    """Return the text of each unit.

    Comments and blank lines above a header belong to its unit.
    """
    lines = text.splitlines(keepends=True)
    if lines and not lines[-1].endswith("\n"):
        lines[-1] += "\n"
    _, index = read_document(text)
    starts: list[tuple[int, Path]] = [(0, ())]
    for line, path in index.headers:
        start = line - 1
        while start > starts[-1][0] and _is_blank_or_comment(lines[start - 1]):
            start -= 1
        unit = path[:2] if path[0] in UNIT_TABLES else path[:1]
        starts.append((start, unit))
    blocks: dict[Path, str] = {}
    ends = [start for start, _ in starts[1:]] + [len(lines)]
    for (start, unit), end in zip(starts, ends, strict=True):
        blocks[unit] = blocks.get(unit, "") + "".join(lines[start:end])
    return blocks
