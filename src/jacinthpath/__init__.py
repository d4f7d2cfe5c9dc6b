"""Router for servers that own keys exclusively, and its coordination parts.

Every public name of the library can be imported from here. Names are loaded
when they are first used, so importing one part loads no daemon and none of the
libraries that only daemons use.
"""

from __future__ import annotations

import importlib

_MODULES = {
    "configuration": (
        "Configuration",
        "Endpoint",
        "RequestRule",
        "ServicePolicy",
        "parse_configuration",
        "read_document",
    ),
    "deferral": ("DeferralPlanner", "Release"),
    "dissemination": (
        "Announce",
        "Digest",
        "Disseminator",
        "Exchange",
        "Fetch",
        "Offer",
        "Push",
        "Topic",
        "TopicStore",
        "choose_watchers",
    ),
    "errors": (
        "ConfigurationError",
        "JacinthpathError",
        "NotOwner",
        "NotRun",
        "OutcomeUnknown",
    ),
    "grant_messages": (
        "decode_answer",
        "decode_grant",
        "encode_answer",
        "encode_grant",
    ),
    "grants": (
        "Grant",
        "GrantAnswer",
        "GrantHolder",
        "TermTracker",
        "drift_margin_s",
        "holdings_digest",
    ),
    "hashing": ("key_hash", "rendezvous_rank", "slice_of"),
    "hotkeys": (
        "HotKeyDecision",
        "HotKeySelector",
        "HotKeySketch",
        "KeyLoad",
        "LoadReport",
        "LoadWindow",
        "SliceLoads",
        "merge_reports",
        "report_interval_s",
    ),
    "limits": ("ConcurrencyLimit", "LatencyTrend"),
    "membership": ("HostState", "Member", "MembershipView"),
    "placement": (
        "BalancingLimits",
        "MeasuredLoads",
        "Move",
        "Placement",
        "Plan",
        "ServerState",
        "apply_plan",
        "initial_owners",
        "plan_moves",
    ),
    "record_completeness": ("HolderCompleteness",),
    "record_messages": ("Claim", "ClaimResult", "KeptResponse"),
    "record_quorum": ("Decision", "RecordQuorum"),
    "record_roster": ("Roster", "choose_holders", "initial_roster"),
    "records": ("RecordLedger",),
    "registry": ("Registry",),
    "retries": ("Retry", "RetryBudget", "decide_retry", "retry_after_s"),
    "scheduling": ("Admission", "LengthEstimator", "QueuedRequest", "RequestQueue"),
    "selection": ("EndpointPool",),
    "slices": ("SliceTable", "decode_table", "encode_table"),
}
_HOMES = {name: module for module, names in _MODULES.items() for name in names}

__all__ = sorted(_HOMES)


def __getattr__(name: str) -> object:
    module = _HOMES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)


def __dir__() -> list[str]:
    return [*globals(), *__all__]
