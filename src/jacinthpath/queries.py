"""Read-only operations of the command line."""

from __future__ import annotations

__all__ = [
    "ControlClient",
    "Explanation",
    "HostStatus",
    "NotInForce",
    "compare_documents",
    "describe_account",
    "explain_request",
    "read_statuses",
    "wait_in_force",
]

import asyncio
import difflib
import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from .configuration import Configuration, ServicePolicy
from .errors import JacinthpathError, PeerError
from .hashing import key_hash, slice_of
from .slices import SliceTable

POLL_INTERVAL_S = 0.1
MAX_PARALLEL_REQUESTS = 32
DESCRIBED_FIELDS = (
    "keyed",
    "fencing",
    "idempotent",
    "priority",
    "deadline_ms",
    "defer_limit_s",
    "retry_budget_ratio",
    "account_weight",
)


class NotInForce(JacinthpathError):
    """A version was not in force on every host before the timeout."""

    exit_code = 9

    def __str__(self) -> str:
        return f"{self.message}\n{self.remedy}"


class HostStatus(NamedTuple):
    """Status reported by one control process.

    :param version: version of the configuration in force, 0 for none.
    :param confirmed_age_s: age of the newest confirmation that it is current.
    :param coordinates: services that the process coordinates.
    :param error: why there is no response, or an empty string.
    """

    address: str
    host: str = ""
    data_centre: str = ""
    version: int = 0
    freshness: str = ""
    confirmed_age_s: float | None = None
    coordinates: tuple[str, ...] = ()
    unready_reason: str = ""
    error: str = ""


class ControlClient(Protocol):
    """Interface to the control processes that the queries need."""

    addresses: tuple[str, ...]

    async def read_status(self, address: str) -> dict[str, Any]:
        """Return the status of a control process."""

    async def fetch_topic(self, address: str, name: str) -> bytes | None:
        """Return the content of a topic, or ``None`` if the process lacks it."""


class Explanation(NamedTuple):
    """One step of the routing of a request, with its result and reason."""

    step: str
    result: str
    reason: str


def compare_documents(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the unified diff of two documents."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)


def describe_account(
    configuration: Configuration, account: str
) -> list[dict[str, Any]]:
    """Return the resolved policies of an account, one mapping per service.

    :raises JacinthpathError: there is no such account.
    """
    policies = [
        policy
        for (name, _), policy in configuration.policies.items()
        if name == account
    ]
    if not policies:
        known = sorted({name for name, _ in configuration.policies})
        close = difflib.get_close_matches(account, known, 1) or known[:10]
        raise JacinthpathError(
            f"There is no account {account!r}.", f"Use one of: {', '.join(close)}."
        )
    return [_describe_policy(policy) for policy in policies]


async def read_statuses(client: ControlClient) -> list[HostStatus]:
    """Return the status of each host that the configured control processes know."""
    statuses = await _request_statuses(client, client.addresses)
    members = sorted(
        {
            member["address"]
            for _, response in statuses
            for member in response.get("members", ())
        }
        - set(client.addresses)
    )
    statuses += await _request_statuses(client, members)
    found = {status.host or status.address: status for status, _ in statuses}
    return [found[name] for name in sorted(found)]


async def wait_in_force(
    client: ControlClient, version: int, timeout_s: float
) -> list[HostStatus]:
    """Wait until a version is in force on every host.

    :raises NotInForce: the timeout passed first; the message lists the hosts with an
        older version.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        statuses = await read_statuses(client)
        behind = [status for status in statuses if status.version < version]
        if statuses and not behind:
            return statuses
        if loop.time() >= deadline_s:
            lines = [
                f"  {status.host or status.address}: "
                f"{status.error or f'version {status.version}'}"
                for status in behind
            ]
            raise NotInForce(
                f"Version {version} is not in force on {len(behind)} of "
                f"{len(statuses)} hosts after {timeout_s:g} s:\n" + "\n".join(lines),
                "The change is stored and propagates by itself. Check these hosts "
                "with `jacinthpath configuration status`.",
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def explain_request(
    configuration: Configuration,
    table: SliceTable | None,
    account: str,
    service: str,
    key: str = "",
    method: str = "GET",
    path: str = "/",
) -> list[Explanation]:
    """Return how a request would be routed, step by step.

    :param table: slice table of the service, or ``None`` if it is not known.
    """
    policy = configuration.resolve(account, service)
    if policy is None:
        reason = (
            f"version {configuration.version} has no policy for this account and "
            "service"
        )
        return [Explanation("account", "refused", reason)]
    request_policy = policy.for_request(method, path)
    rule_text = "a rule matches" if request_policy is not policy else "no rule matches"
    steps = [
        Explanation(
            "policy",
            f"{request_policy.priority}, {request_policy.deadline_ms} ms, "
            f"{'idempotent' if request_policy.idempotent else 'at most once'}",
            f"version {configuration.version}; {rule_text} {method} {path}",
        )
    ]
    if policy.keyed:
        return steps + _explain_owner(policy, table, key)
    active = [e for e in policy.endpoints if e.state == "active"]
    names = ", ".join(f"{e.server} (weight {e.weight:g})" for e in active)
    reason = "not keyed: the least loaded active endpoint is selected"
    return [*steps, Explanation("endpoint", names or "none", reason)]


def _explain_owner(
    policy: ServicePolicy, table: SliceTable | None, key: str
) -> list[Explanation]:
    if not key:
        return [Explanation("owner", "refused", "keyed service, but no key was given")]
    if table is None:
        reason = "no slice table is known; give a control process with --control"
        return [Explanation("owner", "unknown", reason)]
    hash_value = key_hash(key)
    index = slice_of(hash_value, len(table.owners))
    owner = table.owner_of(hash_value)
    if hash_value in table.hot_keys:
        reason = "hot key, placed individually"
    else:
        reason = f"slice {index} of {len(table.owners)}"
    reason += f"; table version {table.version}, epoch {table.epoch}"
    if not owner:
        return [Explanation("owner", "waits", reason + "; a move is in progress")]
    states = {endpoint.server: endpoint.state for endpoint in policy.endpoints}
    if states.get(owner) == "draining":
        reason += "; draining, the slice will be moved"
    address = table.addresses.get(owner, "address unknown")
    return [Explanation("owner", f"{owner} at {address}", reason)]


def _describe_policy(policy: ServicePolicy) -> dict[str, Any]:
    fields = policy._asdict()
    described = {"service": policy.service}
    described.update((name, fields[name]) for name in DESCRIBED_FIELDS)
    described["endpoints"] = [endpoint._asdict() for endpoint in policy.endpoints]
    described["rules"] = [
        {key: value for key, value in rule._asdict().items() if value is not None}
        for rule in policy.rules
    ]
    return described


async def _request_statuses(
    client: ControlClient, addresses: Iterable[str]
) -> list[tuple[HostStatus, dict[str, Any]]]:
    limit = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

    async def request_status(address: str) -> tuple[HostStatus, dict[str, Any]]:
        async with limit:
            try:
                response = await client.read_status(address)
            except (PeerError, json.JSONDecodeError) as error:
                return HostStatus(address, error=str(error)), {}
        status = HostStatus(
            address,
            response.get("host", ""),
            response.get("data_centre", ""),
            response.get("configuration_version", 0),
            response.get("freshness", ""),
            response.get("confirmed_age_s"),
            tuple(response.get("coordinates", ())),
            response.get("unready_reason", ""),
        )
        return status, response

    tasks: Sequence[Any] = [request_status(address) for address in addresses]
    return list(await asyncio.gather(*tasks))
