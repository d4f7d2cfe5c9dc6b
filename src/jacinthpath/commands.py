"""Operations of the command line that change the configuration."""

from __future__ import annotations

__all__ = ["apply_document", "roll_back", "split_parent_line"]

import re

from .changes import ApplyResult, ConfigurationClient
from .configuration import parse_configuration
from .errors import JacinthpathError

PARENT_LINE = re.compile(r"# jacinthpath configuration version (\d{1,18})\r?\n")


class ParentMissing(JacinthpathError):
    """The version that a document is based on is not known."""

    exit_code = 2


def split_parent_line(text: str) -> tuple[int | None, str]:
    """Return the version in the first line of a document, and the remaining text.

    ``jacinthpath configuration get`` writes this line.
    """
    match = PARENT_LINE.match(text)
    return (int(match[1]), text[match.end() :]) if match else (None, text)


async def apply_document(
    client: ConfigurationClient,
    text: str,
    path: str,
    author: str,
    parent: int | None = None,
    change_id: str = "",
    replace_damaged: bool = False,
) -> ApplyResult:
    """Check a document and apply it.

    :param path: file name for error messages.
    :param parent: version that the document is based on; by default the one in
        its first line.
    :raises ParentMissing: a version exists, but neither ``parent`` nor the first
        line names one.
    :raises ConfigurationError: the document is invalid.

    Other errors are those of :meth:`ConfigurationClient.apply`.
    """
    stated_parent, content = split_parent_line(text)
    parent = stated_parent if parent is None else parent
    parse_configuration(text, path=path)
    if parent is None:
        newest = (await client.read()).entry.version
        if newest:
            raise ParentMissing(
                f"{path} does not state the version that it is based on.",
                f"The newest is {newest}. Start from `jacinthpath configuration get`, "
                f"or add --parent with the version that you edited.",
            )
        parent = 0
    return await client.apply(content, author, parent, change_id, replace_damaged)


async def roll_back(
    client: ConfigurationClient,
    version: int,
    parent: int,
    author: str,
    change_id: str = "",
) -> ApplyResult:
    """Restore the content of an older version as a new version.

    :param parent: newest version that the operator has seen; a later change is
        kept or reported as a conflict.
    :raises VersionUnknown: the older version is no longer kept.
    """
    older = await client.read_version(version)
    if not older.entry.version:
        raise JacinthpathError(
            "Version 0 cannot be restored; it does not exist.",
            "Choose a version from `jacinthpath configuration history`.",
        )
    return await client.apply(older.content, author, parent, change_id)
