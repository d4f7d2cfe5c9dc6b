"""Plots of benchmark results; needs matplotlib from the extra ``reports``."""

from __future__ import annotations

__all__ = ["plot_result"]

from pathlib import Path
from typing import Any


def plot_result(document: dict[str, Any], path: Path) -> None:
    """Write a bar plot of the product and the naive baseline.

    :param document: what ``scripts/bench NAME --json FILE`` writes.
    :param path: file to write; its suffix determines the format.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(5, 3), layout="constrained")
    axes = figure.subplots()
    values = (document["product"], document["naive"])
    bars = axes.bar(("product", "naive"), values, color=("tab:blue", "tab:grey"))
    axes.bar_label(bars, fmt="%.4g")
    axes.set_ylabel(document["unit"])
    axes.set_title(f"{document['measure']}, seed {document['seed']}")
    figure.savefig(path)
