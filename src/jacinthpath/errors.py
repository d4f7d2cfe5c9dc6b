"""Exception tree.

Every error that jacinthpath raises on purpose derives from
:class:`JacinthpathError`. Each carries a message that says what was found and
a remedy that says what to do about it.
"""

from __future__ import annotations

__all__ = [
    "AuthenticationError",
    "ConfigurationError",
    "ConfigurationProblem",
    "FrameError",
    "JacinthpathError",
    "NotOwner",
    "NotRun",
    "OutcomeUnknown",
    "PeerError",
    "PeerUnavailable",
    "RequestError",
    "SettingsError",
    "StoreError",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
    "VersionConflict",
]

from typing import NamedTuple


class JacinthpathError(Exception):
    """Base of all errors of this package.

    :param message: what was found, in one sentence.
    :param remedy: what the reader can do about it; may be empty.
    """

    exit_code = 1

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}".rstrip()


class SettingsError(JacinthpathError):
    """A process settings file cannot be used.

    :param path: the settings file.
    :param key: dotted name of the key at fault, or an empty string.
    :param found: what was found there.
    :param remedy: how to correct it.
    """

    exit_code = 2

    def __init__(self, path: str, key: str, found: str, remedy: str) -> None:
        place = f"{path}: {key}" if key else path
        super().__init__(f"{place}: {found}.", remedy)
        self.path = path
        self.key = key


class ConfigurationProblem(NamedTuple):
    """One fault in a configuration document.

    ``line`` counts from 1; 0 means that the line is not known.
    """

    line: int
    key: str
    found: str
    remedy: str


class ConfigurationError(JacinthpathError):
    """A configuration document was refused as a whole.

    :param problems: every fault that was found, in document order.
    :param path: file the document was read from, if any.
    """

    exit_code = 3

    def __init__(
        self, problems: tuple[ConfigurationProblem, ...], path: str = "configuration"
    ) -> None:
        lines = [
            f"{path}:{problem.line}: {problem.key}: {problem.found}. {problem.remedy}"
            for problem in problems
        ]
        super().__init__("\n".join(lines))
        self.problems = problems
        self.path = path


class StoreError(JacinthpathError):
    """Base of errors of the platform's key-value service."""


class StoreUnavailable(StoreError):
    """The store did not take the call: nothing was read or written."""

    exit_code = 4


class StoreOutcomeUnknown(StoreError):
    """A write was sent and its answer was lost: it may have taken effect."""

    exit_code = 5


class VersionConflict(StoreError):
    """A compare-and-swap lost: the value has another version by now.

    :param key: key of the value.
    :param expected: version that the caller started from.
    :param actual: version that the store holds.
    """

    exit_code = 6

    def __init__(self, key: str, expected: int, actual: int) -> None:
        super().__init__(
            f"{key} is at version {actual}, not {expected}.",
            "Read the value again and repeat the change on top of it.",
        )
        self.key = key
        self.expected = expected
        self.actual = actual


class PeerError(JacinthpathError):
    """Base of errors between processes of the system."""


class PeerUnavailable(PeerError):
    """The peer could not be reached or did not answer in time."""


class FrameError(PeerError):
    """A frame is too large, truncated, or of an unknown kind."""


class AuthenticationError(PeerError):
    """A peer did not prove that it holds a valid cluster key."""


class RequestError(JacinthpathError):
    """Base of the answers that the router itself gives to a caller.

    :param retry_after_s: when a retry makes sense, in seconds; ``None`` when a
        retry would not help.
    """

    status = 500
    outcome = "not-run"
    kind = "request-error"

    def __init__(
        self,
        message: str,
        remedy: str = "",
        *,
        retry_after_s: float | None = None,
        status: int | None = None,
        kind: str | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.retry_after_s = retry_after_s
        self.status = status or type(self).status
        self.kind = kind or type(self).kind


class NotRun(RequestError):
    """The request was truly not run: nothing was sent, or it was refused."""

    status = 503
    outcome = "not-run"
    kind = "not-run"


class NotOwner(NotRun):
    """The server that was asked does not own the key."""

    status = 421
    kind = "not-owner"


class OutcomeUnknown(RequestError):
    """The request may have reached an endpoint and its outcome is not known."""

    status = 502
    outcome = "unknown"
    kind = "outcome-unknown"
