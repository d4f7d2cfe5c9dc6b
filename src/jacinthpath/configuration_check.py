"""Check of a whole configuration document.

Every problem is reported at once with its line, so that an operator corrects a
document in one pass. The check resolves each account, because a template and
its parameters can be right alone and wrong together.
"""

from __future__ import annotations

__all__ = ["Checker", "Resolved"]

from collections import Counter
from collections.abc import Mapping
from typing import Any

from .configuration_lines import Path, SourceIndex
from .configuration_schema import (
    ACCOUNT_SERVICE_FIELDS,
    ENDPOINT_FIELDS,
    ENDPOINT_OVERRIDE_FIELDS,
    NAME_PATTERN,
    PARAMETER_PATTERN,
    RULE_FIELDS,
    SERVICE_FIELDS,
    SHARED_FIELDS,
    check_fields,
    check_value,
    shorten,
    unknown_key_remedy,
)
from .errors import ConfigurationProblem

Resolved = dict[tuple[str, str], dict[str, Any]]

# A control process holds the resolved policies within its 64 MB.
MAX_POLICIES = 20_000
MAX_RESOLVED_ITEMS = 200_000
MAX_ENDPOINTS = 1_000
MAX_RULES = 64
MAX_PROBLEMS = 100
SERVICE_TABLES = ("endpoints", "rules")


class Checker:
    """Collects the problems of one document and resolves its accounts.

    :param document: parsed document.
    :param index: where its keys stand.
    """

    def __init__(self, document: Mapping[str, Any], index: SourceIndex) -> None:
        self._document = document
        self._index = index
        self._templates: dict[str, dict[str, dict[str, Any]]] = {}
        self._defaults: dict[str, dict[str, Any]] = {}
        self._plain: dict[str, dict[str, dict[str, Any]]] = {}
        self._used: set[str] = set()
        self._item_count = 0
        self.problems: list[ConfigurationProblem] = []

    def run(self) -> Resolved:
        """Check everything; the result counts only without problems."""
        for key in self._document.keys() - {"templates", "accounts"}:
            self._report((key,), "unknown table", "Use templates or accounts.")
        for name, template in self._tables(("templates",), self._document):
            self._check_template(name, template)
        resolved: Resolved = {}
        for name, account in self._tables(("accounts",), self._document):
            self._resolve_account(name, account, resolved)
            if self._exceeds_limits(resolved):
                break
        self._check_shared(resolved)
        self.problems.sort()
        if len(self.problems) > MAX_PROBLEMS:
            rest = len(self.problems) - MAX_PROBLEMS
            more = ConfigurationProblem(
                0, "document", f"{rest} more problems", "Correct the ones above first."
            )
            self.problems[MAX_PROBLEMS:] = [more]
        return resolved

    def _exceeds_limits(self, resolved: Resolved) -> bool:
        if len(resolved) > MAX_POLICIES:
            found = f"more than {MAX_POLICIES} pairs of account and service"
        elif self._item_count > MAX_RESOLVED_ITEMS:
            found = f"accounts resolve to more than {MAX_RESOLVED_ITEMS} endpoints"
        else:
            return False
        self._report(("accounts",), found, "Use fewer accounts, services or overrides.")
        return True

    def _report(self, path: Path, found: str, remedy: str) -> None:
        key = ".".join(str(part) for part in path)[:200]
        line = self._index.line_of(path)
        problem = ConfigurationProblem(line, key, found, remedy)
        # A fault in a template is met again for each account that uses it.
        if problem not in self.problems[-MAX_PROBLEMS:]:
            self.problems.append(problem)

    def _reporter(self, path: Path) -> Any:
        return lambda key, found, remedy: self._report((*path, key), found, remedy)

    def _table(self, path: Path, parent: Mapping[str, Any]) -> Mapping[str, Any]:
        value = parent.get(path[-1], {})
        if isinstance(value, dict):
            return value
        name = ".".join(str(part) for part in path)
        self._report(path, f"found {shorten(value)}", f"Write a table [{name}].")
        return {}

    def _tables(
        self, path: Path, parent: Mapping[str, Any]
    ) -> list[tuple[str, Mapping[str, Any]]]:
        table = self._table(path, parent)
        for name in table:
            if not NAME_PATTERN.fullmatch(name):
                remedy = "Use up to 100 letters, digits, '.', '_' or '-'."
                self._report((*path, name), "not a usable name", remedy)
        return [(name, self._table((*path, name), table)) for name in table]

    def _check_template(self, name: str, template: Mapping[str, Any]) -> None:
        path = ("templates", name)
        for key in template.keys() - {"services", "parameters"}:
            remedy = unknown_key_remedy(key, ("services", "parameters"))
            self._report((*path, key), "unknown key", remedy)
        self._defaults[name] = dict(self._table((*path, "parameters"), template))
        self._templates[name] = {
            service: self._check_service((*path, "services", service), fields)
            for service, fields in self._tables((*path, "services"), template)
        }
        if not self._templates[name]:
            remedy = f"Add a table [templates.{name}.services.SERVICE]."
            self._report(path, "template without services", remedy)

    def _check_service(self, path: Path, table: Mapping[str, Any]) -> dict[str, Any]:
        report = self._reporter(path)
        fields = check_fields(table, SERVICE_FIELDS, report, SERVICE_TABLES)
        fields["endpoints"] = self._check_list(
            path, table, "endpoints", ENDPOINT_FIELDS, ("server", "address")
        )
        fields["rules"] = self._check_list(
            path, table, "rules", RULE_FIELDS, ("path",), MAX_RULES
        )
        if not table.get("endpoints"):
            remedy = "Add endpoints = [{ server = ..., address = ... }]."
            self._report(path, "service without endpoints", remedy)
        for key in ("server", "address"):
            counts = Counter(endpoint.get(key) for endpoint in fields["endpoints"])
            repeated = [value for value, n in counts.items() if value and n > 1]
            for value in repeated:
                found = f"{key} {shorten(value)} is listed twice"
                self._report((*path, "endpoints"), found, "Remove one of the two.")
        return fields

    def _check_list(
        self,
        path: Path,
        table: Mapping[str, Any],
        key: str,
        fields: Mapping[str, Any],
        required: tuple[str, ...],
        limit: int = MAX_ENDPOINTS,
    ) -> list[dict[str, Any]]:
        items = table.get(key, [])
        if not isinstance(items, list) or len(items) > limit:
            remedy = f"Write a list of at most {limit} tables."
            self._report((*path, key), f"not a list of {key}", remedy)
            return []
        accepted = []
        for index, item in enumerate(items):
            place = (*path, key, index)
            if not isinstance(item, dict):
                self._report(place, f"found {shorten(item)}", "Write a table.")
                continue
            for name in required:
                if name not in item:
                    self._report(place, f"{name} is missing", f"Add {name} = ....")
            accepted.append(check_fields(item, fields, self._reporter(place)))
        return accepted

    def _resolve_account(
        self, name: str, account: Mapping[str, Any], resolved: Resolved
    ) -> None:
        path = ("accounts", name)
        known = ("template", "parameters", "services")
        for key in account.keys() - {*known}:
            self._report((*path, key), "unknown key", unknown_key_remedy(key, known))
        template = account.get("template")
        if not isinstance(template, str) or template not in self._templates:
            found = f"template {shorten(template)} does not exist"
            if template is None:
                found = "template is missing"
            remedy = f"Use one of: {', '.join(sorted(self._templates)) or 'none yet'}."
            self._report((*path, "template"), found, remedy)
            return
        overrides = dict(self._tables((*path, "services"), account))
        own = self._table((*path, "parameters"), account)
        if not overrides and not own and template in self._plain:
            services = self._plain[template]
        else:
            services = self._resolve_services(name, template, own, overrides)
        if not overrides and not own:
            self._plain[template] = services
        for service, merged in services.items():
            resolved[name, service] = merged

    def _resolve_services(
        self,
        account: str,
        template: str,
        own: Mapping[str, Any],
        overrides: Mapping[str, Mapping[str, Any]],
    ) -> dict[str, dict[str, Any]]:
        path = ("accounts", account)
        services = self._templates[template]
        for service in overrides.keys() - services.keys():
            found = f"template {template} has no service of this name"
            remedy = f"Use one of: {', '.join(sorted(services))}."
            self._report((*path, "services", service), found, remedy)
        parameters = {**self._defaults[template], **own}
        self._used = set()
        results = {}
        for service, fields in services.items():
            place = ("templates", template, "services", service)
            merged = self._fill(place, fields, parameters, account)
            change = overrides.get(service, {})
            self._override((*path, "services", service), merged, change)
            self._check_deferral(path, service, merged)
            results[service] = merged
        for key in own.keys() - self._used:
            remedy = f"Remove it, or write ${{{key}}} in template {template}."
            self._report((*path, "parameters", key), "unused parameter", remedy)
        return results

    def _fill(
        self, path: Path, fields: dict[str, Any], parameters: dict, account: str
    ) -> dict[str, Any]:
        filled = self._fill_table(path, fields, SERVICE_FIELDS, parameters, account)
        if filled is fields:
            filled = dict(fields)
        for key, kinds in (("endpoints", ENDPOINT_FIELDS), ("rules", RULE_FIELDS)):
            items = [
                self._fill_table((*path, key, index), item, kinds, parameters, account)
                for index, item in enumerate(fields[key])
            ]
            # An unchanged list is shared by all accounts of the template.
            changed = any(a is not b for a, b in zip(items, fields[key], strict=True))
            if changed:
                filled[key] = items
                self._item_count += len(items)
        return filled

    def _fill_table(
        self,
        path: Path,
        table: dict[str, Any],
        fields: Mapping[str, Any],
        parameters: dict[str, Any],
        account: str,
    ) -> dict[str, Any]:
        references = [
            (key, match[1])
            for key, value in table.items()
            if type(value) is str and (match := PARAMETER_PATTERN.fullmatch(value))
        ]
        if not references:
            return table
        filled = dict(table)
        for key, name in references:
            self._used.add(name)
            if name not in parameters:
                remedy = f"Set {name} under [accounts.{account}.parameters]."
                found = f"account {account} gives no parameter {name}"
                self._report((*path, key), found, remedy)
                filled[key] = None
                continue
            filled[key] = parameters[name]
            fault = check_value(fields[key], filled[key])
            if fault is not None:
                place = ("accounts", account, "parameters", name)
                self._report(place, f"{fault[0]} for {key}", fault[1])
                filled[key] = None
        return filled

    def _override(
        self, path: Path, merged: dict[str, Any], change: Mapping[str, Any]
    ) -> None:
        report = self._reporter(path)
        shared = change.keys() & SHARED_FIELDS.keys()
        for key in shared:
            remedy = "Set it in the template."
            report(key, "cannot differ between accounts of a service", remedy)
        own = {key: value for key, value in change.items() if key not in shared}
        merged.update(check_fields(own, ACCOUNT_SERVICE_FIELDS, report, ["endpoints"]))
        changes = self._tables((*path, "endpoints"), change)
        if not changes:
            return
        endpoints = {item.get("server"): item for item in merged["endpoints"]}
        for server, values in changes:
            place = (*path, "endpoints", server)
            if server not in endpoints:
                known = ", ".join(str(name) for name in endpoints)[:200]
                self._report(place, "no such endpoint", f"Use one of: {known}.")
                continue
            accepted = check_fields(
                values, ENDPOINT_OVERRIDE_FIELDS, self._reporter(place)
            )
            endpoints[server] = {**endpoints[server], **accepted}
        merged["endpoints"] = list(endpoints.values())
        self._item_count += len(endpoints)

    def _check_deferral(self, path: Path, service: str, merged: dict) -> None:
        for item in (merged, *merged["rules"]):
            limit_s = item.get("defer_limit_s", merged.get("defer_limit_s", 0))
            if item.get("priority") == "deferrable" and limit_s == 0:
                found = f"{service} is deferrable without a time to end by"
                remedy = "Set defer_limit_s."
                self._report((*path, "services", service), found, remedy)

    def _check_shared(self, resolved: Resolved) -> None:
        first: dict[tuple[str, str], tuple[str, Any]] = {}
        compared: set[tuple[str, int, str]] = set()
        for (account, service), fields in resolved.items():
            template = self._document["accounts"][account]["template"]
            identity = (service, id(fields["endpoints"]), template)
            if identity in compared:
                continue
            compared.add(identity)
            pairs = [
                (key, fields.get(key, field.default))
                for key, field in SHARED_FIELDS.items()
            ]
            for item in fields["endpoints"]:
                pairs.append((f"address of {item.get('server')}", item.get("address")))
            for key, value in pairs:
                if value is None:
                    continue
                other, expected = first.setdefault((service, key), (account, value))
                if value != expected:
                    found = (
                        f"{key} of {service} is {shorten(value)} here and "
                        f"{shorten(expected)} for account {other}"
                    )
                    remedy = "Make the templates of the two accounts agree."
                    self._report(("accounts", account, "template"), found, remedy)
