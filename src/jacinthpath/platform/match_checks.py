"""Checks for entries of the operator's configuration that are never used."""

from __future__ import annotations

__all__: list[str] = []

import difflib
from collections.abc import Iterator

from ..configuration_findings import Finding, Place, error, warning
from ..json_documents import describe
from .document_checks import DOCUMENT_CHECKS, in_entry, name_of
from .raw_tables import RawDocument, Row


@DOCUMENT_CHECKS.register("no-routes")
def _check_no_routes(document: RawDocument) -> Iterator[Finding]:
    if not document.routes:
        message = "without routes, all requests get status 404"
        yield error(Place(("routes", "rows")), message, "Add a route.")


@DOCUMENT_CHECKS.register("duplicate-name")
def _check_duplicate_names(document: RawDocument) -> Iterator[Finding]:
    for rows in (document.routes, document.services):
        first: dict[str, Row] = {}
        for row in rows:
            other = first.setdefault(row.name, row)
            if row.name and other is not row:
                message = f"{describe(row.name)} is also the name of row {other.index}"
                remedy = "Rename or remove one of them."
                yield warning(row.place("name"), message, remedy)


@DOCUMENT_CHECKS.register("shadowed-route")
def _check_shadowed_route(document: RawDocument) -> Iterator[Finding]:
    # Of two routes with the same host and prefix, hosts take the later one.
    last: dict[tuple[str, str], Row] = {}
    for row in reversed(document.routes):
        host, prefix = row.text("host"), row.text("prefix")
        if host is None or prefix is None:
            continue
        other = last.setdefault((host.lower(), prefix), row)
        if other is not row:
            message = (
                f"the route{name_of(row)} is never used: {describe(other.name)} in row "
                f"{other.index} has the same host and prefix"
            )
            remedy = "Remove one of them, or change its host or prefix."
            yield warning(row.place(), message, remedy)


@DOCUMENT_CHECKS.register("prefix-without-slash")
def _check_prefix(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        prefix = row.text("prefix")
        if prefix and not (prefix.startswith("/") and prefix.endswith("/")):
            message = f"{describe(prefix)} matches no path{in_entry(row.name)}"
            remedy = "Begin and end the prefix with a slash."
            yield error(row.place("prefix"), message, remedy)


@DOCUMENT_CHECKS.register("prefix-beyond-path")
def _check_prefix_beyond_path(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        prefix = row.text("prefix") or ""
        if "?" in prefix or "#" in prefix:
            message = f"{describe(prefix)} matches no path{in_entry(row.name)}"
            remedy = "Leave out the query; only the path is compared."
            yield error(row.place("prefix"), message, remedy)


@DOCUMENT_CHECKS.register("host-never-matches")
def _check_host(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        host = row.text("host") or ""
        _, colon, port = host.rpartition(":")
        if "/" in host or " " in host or (colon and port.isdigit()):
            message = f"{describe(host)} matches no host name{in_entry(row.name)}"
            remedy = "Write the host name alone; the port of a request is ignored."
            yield error(row.place("host"), message, remedy)


@DOCUMENT_CHECKS.register("unknown-service")
def _check_unknown_service(document: RawDocument) -> Iterator[Finding]:
    known = document.service_names()
    for row in document.routes:
        column = "traffic_split" if row.values.get("traffic_split") else "service"
        for service in dict.fromkeys(row.services()):
            if service not in known:
                message = f"there is no service {describe(service)}{in_entry(row.name)}"
                close = difflib.get_close_matches(service[:100], known, 1)
                hint = f"Did you mean {close[0]}?" if close else "Add the service."
                yield error(row.place(column), message, hint)


@DOCUMENT_CHECKS.register("unused-service")
def _check_unused_service(document: RawDocument) -> Iterator[Finding]:
    used = {service for row in document.routes for service in row.services()}
    for row in document.services:
        if row.name and row.name not in used:
            message = f"no route leads to service {describe(row.name)}"
            yield warning(row.place(), message, "Remove it, or add a route.")


@DOCUMENT_CHECKS.register("service-beside-split")
def _check_service_beside_split(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        if row.values.get("traffic_split") and "service" in row.values:
            message = (
                f"the service has no effect beside a traffic split{in_entry(row.name)}"
            )
            yield warning(row.place("service"), message, "Remove one of the two.")


@DOCUMENT_CHECKS.register("split-without-weight")
def _check_split_without_weight(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        split = row.split()
        if split and not any(weight > 0 for _, weight in split):
            message = f"all weights of the traffic split are 0{in_entry(row.name)}"
            remedy = "Give at least one service a weight above 0."
            yield error(row.place("traffic_split"), message, remedy)


@DOCUMENT_CHECKS.register("split-part-unused")
def _check_split_part_unused(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        split = row.split()
        if not any(weight > 0 for _, weight in split):
            continue
        for service, weight in split:
            if weight == 0:
                message = f"{describe(service)} gets no requests{in_entry(row.name)}"
                remedy = "Remove the part, or give it a weight above 0."
                yield warning(row.place("traffic_split"), message, remedy)


@DOCUMENT_CHECKS.register("split-part-twice")
def _check_split_part_twice(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        services = [service for service, _ in row.split()]
        for service in dict.fromkeys(services):
            if services.count(service) > 1:
                message = f"{describe(service)} is listed twice{in_entry(row.name)}"
                remedy = "Write one part with the sum of the weights."
                yield warning(row.place("traffic_split"), message, remedy)
