"""Checks for bounds of the operator's configuration that contradict each other."""

from __future__ import annotations

__all__: list[str] = []

from collections.abc import Iterator

from ..configuration_findings import Finding, Place, error, warning
from ..gateway.attempts import MAX_RETRIES, MIN_REMAINING_SHARE
from ..gateway.model import CallerLimits
from .document_checks import DOCUMENT_CHECKS, in_entry
from .raw_tables import RawDocument


@DOCUMENT_CHECKS.register("zero-timeout")
def _check_zero_timeout(document: RawDocument) -> Iterator[Finding]:
    remedy = "Write a time above 0, or null for the default."
    for row in document.routes:
        if row.duration_s("timeout") == 0:
            message = f"with a timeout of 0, all requests fail{in_entry(row.name)}"
            yield error(row.place("timeout"), message, remedy)
    for key in ("header_timeout", "idle_timeout"):
        if document.limit_s(key) == 0:
            message = "with a limit of 0, callers' connections are closed at once"
            yield error(Place(("limits", key)), message, remedy)


@DOCUMENT_CHECKS.register("timeout-below-objective")
def _check_timeout_below_objective(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        timeout_s = row.duration_s("timeout")
        target_s = row.duration_s("target_latency")
        if timeout_s and target_s and timeout_s < target_s:
            message = (
                f"the timeout of {timeout_s:g} s is below the latency objective of "
                f"{target_s:g} s{in_entry(row.name)}"
            )
            remedy = "Raise timeout, or lower target_latency."
            yield warning(row.place("timeout"), message, remedy)


@DOCUMENT_CHECKS.register("zero-objective")
def _check_zero_objective(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        if row.duration_s("target_latency") == 0:
            message = f"no response meets a latency objective of 0{in_entry(row.name)}"
            remedy = "Write a time above 0, or null for the timeout."
            yield warning(row.place("target_latency"), message, remedy)


@DOCUMENT_CHECKS.register("zero-attempts")
def _check_zero_attempts(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        if row.number("max_attempts") == 0:
            message = f"0 attempts count as 1{in_entry(row.name)}"
            remedy = "Write 1, or the number of attempts that you want."
            yield warning(row.place("max_attempts"), message, remedy)


@DOCUMENT_CHECKS.register("attempts-never-made")
def _check_attempts_never_made(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        attempts = row.number("max_attempts")
        if attempts is not None and attempts > MAX_RETRIES + 1:
            message = f"at most {MAX_RETRIES + 1} attempts are made{in_entry(row.name)}"
            remedy = f"Write {MAX_RETRIES + 1} or less."
            yield warning(row.place("max_attempts"), message, remedy)


@DOCUMENT_CHECKS.register("attempts-beyond-timeout")
def _check_attempts_beyond_timeout(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        timeout_s = row.duration_s("timeout")
        target_s = row.duration_s("target_latency")
        attempts = row.number("max_attempts") or 0
        if not timeout_s or not target_s or attempts < 2 or timeout_s < target_s:
            continue
        # The last attempt is made with this share of its time left.
        needed_s = (attempts - 1 + MIN_REMAINING_SHARE) * target_s
        if needed_s > timeout_s:
            message = (
                f"{attempts:g} attempts as long as the latency objective need "
                f"{needed_s:g} s, the timeout is {timeout_s:g} s{in_entry(row.name)}"
            )
            remedy = "Lower max_attempts or target_latency, or raise timeout."
            yield warning(row.place("max_attempts"), message, remedy)


@DOCUMENT_CHECKS.register("zero-connections")
def _check_zero_connections(document: RawDocument) -> Iterator[Finding]:
    for row in document.services:
        if row.number("max_connections") == 0:
            message = f"0 connections count as 1 for each host{in_entry(row.name)}"
            remedy = "Write how many connections a server accepts from all hosts."
            yield warning(row.place("max_connections"), message, remedy)


@DOCUMENT_CHECKS.register("warmup-rate-without-warmup")
def _check_warmup_rate_without_warmup(document: RawDocument) -> Iterator[Finding]:
    for row in document.services:
        if row.number("warmup_per_s") and not row.duration_s("warmup"):
            message = f"warmup_per_s bounds no time without warmup{in_entry(row.name)}"
            remedy = "Add warmup, the time for which a started server is cold."
            yield warning(row.place("warmup_per_s"), message, remedy)


@DOCUMENT_CHECKS.register("warmup-rate-zero")
def _check_warmup_rate_zero(document: RawDocument) -> Iterator[Finding]:
    for row in document.services:
        if row.number("warmup_per_s") == 0 and row.duration_s("warmup"):
            message = (
                f"a rate of 0 means that cold servers have no bound{in_entry(row.name)}"
            )
            remedy = "Write the requests a second that a cold server takes, or null."
            yield warning(row.place("warmup_per_s"), message, remedy)


@DOCUMENT_CHECKS.register("key-warmup-without-keys")
def _check_key_warmup_without_keys(document: RawDocument) -> Iterator[Finding]:
    for row in document.services:
        if row.duration_s("warm") and row.values.get("sharded") is not True:
            message = (
                f"warm has no effect on a service without keys{in_entry(row.name)}"
            )
            yield warning(row.place("warm"), message, "Remove it, or set sharded.")


@DOCUMENT_CHECKS.register("header-timeout-above-idle-timeout")
def _check_header_timeout(document: RawDocument) -> Iterator[Finding]:
    default = CallerLimits()
    header_s = document.limit_s("header_timeout")
    idle_s = document.limit_s("idle_timeout")
    if header_s is None and idle_s is None:
        return
    header_s = default.header_timeout_s if header_s is None else header_s
    idle_s = default.idle_timeout_s if idle_s is None else idle_s
    if header_s > idle_s > 0:
        message = (
            f"header_timeout, {header_s:g} s, is above idle_timeout, {idle_s:g} s: "
            f"idle connections are closed before the headers may be complete"
        )
        remedy = "Lower header_timeout, or raise idle_timeout."
        yield warning(Place(("limits", "header_timeout")), message, remedy)


@DOCUMENT_CHECKS.register("header-limit-below-prefix")
def _check_header_limit_below_prefix(document: RawDocument) -> Iterator[Finding]:
    header_bytes = document.limit("max_header_bytes")
    if header_bytes is None:
        return
    for row in document.routes:
        needed = len(row.text("host") or "") + len(row.text("prefix") or "")
        if needed > header_bytes:
            message = (
                f"host and prefix have more than max_header_bytes{in_entry(row.name)}"
            )
            remedy = "Raise max_header_bytes, or shorten the prefix."
            yield error(row.place("prefix"), message, remedy)


@DOCUMENT_CHECKS.register("no-body-allowed")
def _check_body_bytes(document: RawDocument) -> Iterator[Finding]:
    if document.limit("max_body_bytes") == 0:
        message = "with a limit of 0, all requests with a body are refused"
        remedy = "Write the largest body that callers may send."
        yield warning(Place(("limits", "max_body_bytes")), message, remedy)
