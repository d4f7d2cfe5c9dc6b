"""Checks docs/dashboard.json against the metrics that the code describes."""

import json
import re
from pathlib import Path

from jacinthpath.metrics import DESCRIPTIONS

PAGE = Path(__file__).parents[1] / "docs" / "dashboard.json"
LABELS = re.compile(r"\{[^}]*\}|\bby \([^)]*\)|\[[^\]]*\]")
NAME = re.compile(r"\b[a-z][a-z_]*\b(?!\s*\()")
SUFFIX = re.compile(r"_(bucket|count|sum)$")
KEYWORDS = {"sum", "by"}
SHOWN = {
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


def shown_metrics():
    panels = json.loads(PAGE.read_text())["panels"]
    expressions = [target["expr"] for each in panels for target in each["targets"]]
    names = [NAME.findall(LABELS.sub(" ", each)) for each in expressions]
    assert all(names)
    return {name for found in names for name in found} - KEYWORDS


def test_the_dashboard_shows_only_metrics_that_exist():
    """Guards against panels that stay empty after a metric was renamed."""
    bases = {SUFFIX.sub("", name) for name in shown_metrics()}
    assert bases <= DESCRIPTIONS.keys()


def test_the_dashboard_shows_each_subject():
    """Guards against a panel that was dropped, or an expression not understood."""
    assert shown_metrics() == SHOWN


def test_panels_have_identities_and_places_of_their_own():
    """Guards against panels that hide each other after an edit."""
    panels = json.loads(PAGE.read_text())["panels"]
    assert len({panel["id"] for panel in panels}) == len(panels)
    places = {(each["gridPos"]["x"], each["gridPos"]["y"]) for each in panels}
    assert len(places) == len(panels)
