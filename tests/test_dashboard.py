"""Checks docs/dashboard.json against the metrics that the code describes."""

import json
import re
from pathlib import Path

from jacinthpath.metrics import DESCRIPTIONS

DASHBOARD = Path(__file__).parents[1] / "docs" / "dashboard.json"
LABELS = re.compile(r"\{[^}]*\}|\bby \([^)]*\)|\[[^\]]*\]")
NAME = re.compile(r"\b[a-z][a-z_]*\b(?!\s*\()")
SUFFIX = re.compile(r"_(bucket|count|sum)$")
KEYWORDS = {"sum", "by"}
EXPECTED_METRICS = {
    "attempts_failed_total",
    "configuration_confirmed_age_seconds",
    "configuration_stale",
    "deferred_requests",
    "peer_connections_refused_total",
    "peer_frames_refused_total",
    "peer_sent_bytes_total",
    "request_duration_seconds_bucket",
    "requests_not_admitted_total",
    "requests_total",
    "topic_version",
}


def find_dashboard_metrics():
    panels = json.loads(DASHBOARD.read_text())["panels"]
    expressions = [target["expr"] for panel in panels for target in panel["targets"]]
    names = [NAME.findall(LABELS.sub(" ", expression)) for expression in expressions]
    assert all(names)
    return {name for expression_names in names for name in expression_names} - KEYWORDS


def test_the_dashboard_shows_only_metrics_that_exist():
    """Guards against panels that stay empty after a metric was renamed."""
    bases = {SUFFIX.sub("", name) for name in find_dashboard_metrics()}
    assert bases <= DESCRIPTIONS.keys()


def test_the_dashboard_shows_the_expected_metrics():
    """Guards against a removed panel and against an expression that is not parsed."""
    assert find_dashboard_metrics() == EXPECTED_METRICS


def test_panels_have_unique_ids_and_positions():
    """Guards against panels that cover one another after an edit."""
    panels = json.loads(DASHBOARD.read_text())["panels"]
    assert len({panel["id"] for panel in panels}) == len(panels)
    positions = {(panel["gridPos"]["x"], panel["gridPos"]["y"]) for panel in panels}
    assert len(positions) == len(panels)
