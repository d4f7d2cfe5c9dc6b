"""Reference pages generated from the code."""

from __future__ import annotations

__all__ = ["PAGES"]

from collections.abc import Callable, Iterable, Iterator

from .metrics import DESCRIPTIONS
from .registry import Registry
from .settings import (
    ControlSettings,
    EntrySettings,
    SettingDescription,
    describe_settings,
)

PAGES: Registry[Callable[[], str]] = Registry("reference page")


@PAGES.register("settings")
def render_settings() -> str:
    """Return the reference of process settings as Markdown."""
    lines = [
        "# Settings reference",
        "",
        "Output of `jacinthpath reference settings`. Each process reads one TOML file;",
        "a dotted key names a table and its key. A key ends in its unit.",
    ]
    for title, kind in (
        ("Entry process", EntrySettings),
        ("Control process", ControlSettings),
    ):
        lines += ["", f"## {title}", "", *_format_table(describe_settings(kind))]
    return "\n".join(lines) + "\n"


@PAGES.register("metrics")
def render_metrics() -> str:
    """Return the reference of metrics as Markdown."""
    lines = [
        "# Metrics reference",
        "",
        "Output of `jacinthpath reference metrics`. Served at `/metrics` of the admin",
        "address. Durations are histograms with the suffixes `_bucket`, `_sum` and",
        "`_count`.",
        "",
        "| metric | meaning |",
        "|---|---|",
    ]
    lines += [f"| `{name}` | {text} |" for name, text in sorted(DESCRIPTIONS.items())]
    return "\n".join(lines) + "\n"


def _format_table(rows: Iterable[SettingDescription]) -> Iterator[str]:
    yield "| key | type | default | meaning |"
    yield "|---|---|---|---|"
    for row in rows:
        yield f"| `{row.key}` | {row.type_name} | {row.default} | {row.meaning} |"
