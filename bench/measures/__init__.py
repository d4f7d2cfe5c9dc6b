"""Benchmarks, called measures: one module each, registered under its command name.

A measure is a function ``run(seed: int) -> Result``. It prints a line for each
variant with :func:`print_variant`; the command line prints the closing line.
"""

from __future__ import annotations

__all__ = ["MEASURES", "Result", "print_variant"]

import importlib
import pkgutil
from collections.abc import Callable
from typing import Any, NamedTuple

from jacinthpath.registry import Registry


class Result(NamedTuple):
    """Result of a measure: product and naive baseline from the same run.

    :param product: value for jacinthpath, in ``unit``.
    :param naive: value for the naive baseline, in ``unit``.
    :param unit: unit of both values, without spaces.
    :param variants: values returned by :func:`print_variant`, for the JSON file.
    """

    product: float
    naive: float
    unit: str
    variants: tuple[dict[str, Any], ...] = ()

    @property
    def ratio(self) -> float:
        """Product over naive; infinite when naive alone is zero."""
        if self.naive:
            return self.product / self.naive
        return float("inf") if self.product else 1.0


MEASURES: Registry[Callable[[int], Result]] = Registry("measure")


def format_line(values: dict[str, Any]) -> str:
    """Format values as one ``key=value`` line, floats with six significant digits."""
    return " ".join(f"{key}={_format_value(value)}" for key, value in values.items())


def _format_value(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return text.replace(" ", "_")


def print_variant(name: str, **values: Any) -> dict[str, Any]:
    """Print one ``key=value`` line for a variant and return its values."""
    line = {"variant": name, **values}
    print(format_line(line), flush=True)
    return line


for _module in pkgutil.iter_modules(__path__):
    importlib.import_module(f"{__name__}.{_module.name}")
