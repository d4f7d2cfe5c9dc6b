"""Router for servers that own keys exclusively, and its coordination parts.

Every public name of the library can be imported from here. Names are loaded
when they are first used, so importing one part loads no daemon and none of the
libraries that only daemons use.
"""

from __future__ import annotations

import importlib

_MODULES = {
    "configuration": ("Configuration", "Endpoint", "ServicePolicy"),
    "deferral": ("DeferralPlanner",),
    "errors": ("JacinthpathError", "NotOwner", "NotRun", "OutcomeUnknown"),
    "grants": ("Grant", "GrantAnswer", "GrantHolder", "TermTracker"),
    "hashing": ("key_hash", "rendezvous_rank", "slice_of"),
    "hotkeys": ("HotKeySketch", "merge_reports"),
    "limits": ("ConcurrencyLimit",),
    "placement": ("plan_moves",),
    "registry": ("Registry",),
    "retries": ("RetryBudget", "decide_retry"),
    "scheduling": ("LengthEstimator", "QueuedRequest", "RequestQueue"),
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
