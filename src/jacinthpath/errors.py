"""Exception hierarchy.

Every error that jacinthpath raises deliberately derives from
:class:`JacinthpathError`. Each has a message that says what was found and a
remedy that says what to do about it.
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
    """Base class of all errors of this package.

    :param message: what was found, in one sentence.
    :param remedy: what the user can do about it; may be empty.
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
    :param key: dotted name of the invalid key, or an empty string.
    :param found: what was found there.
    :param remedy: how to correct it.
    """

    exit_code = 2

    def __init__(self, path: str, key: str, found: str, remedy: str) -> None:
        location = f"{path}: {key}" if key else path
        super().__init__(f"{location}: {found}.", remedy)
        self.path = path
        self.key = key


class ConfigurationProblem(NamedTuple):
    """One problem in a configuration document.

    ``line`` starts at 1; 0 means that the line is not known.
    """

    line: int
    key: str
    found: str
    remedy: str


class ConfigurationError(JacinthpathError):
    """A configuration document was refused as a whole.

    :param problems: all problems that were found, in document order.
    :param path: file that the document was read from, if any.
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
    """Base class of errors of the platform's key-value store."""


class StoreUnavailable(StoreError):
    """The store did not accept the call: nothing was read or written."""

    exit_code = 4


class StoreOutcomeUnknown(StoreError):
    """A write was sent and its response was lost: it may have taken effect."""

    exit_code = 5


class VersionConflict(StoreError):
    """A compare-and-swap failed: the version of the value is not the expected one.

    :param key: key of the value.
    :param expected: version that the change was based on.
    :param actual: version in the store.
    """

    exit_code = 6

    def __init__(self, key: str, expected: int, actual: int) -> None:
        super().__init__(
            f"{key} is at version {actual}, not {expected}.",
            "Read the value again and apply the change to it.",
        )
        self.key = key
        self.expected = expected
        self.actual = actual


class PeerError(JacinthpathError):
    """Base class of errors in the communication between processes."""


class PeerUnavailable(PeerError):
    """The peer could not be reached or did not respond in time."""


class FrameError(PeerError):
    """A frame is too large, truncated, or of an unknown kind."""


class AuthenticationError(PeerError):
    """A peer did not prove that it holds a valid cluster key."""


class RequestError(JacinthpathError):
    """Base class of the error responses that the router itself sends to a caller.

    :param retry_after_s: delay after which a retry makes sense; ``None`` when a
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
    """The request was certainly not executed: it was not sent, or it was refused."""

    status = 503
    outcome = "not-run"
    kind = "not-run"


class NotOwner(NotRun):
    """The server that received the request does not own the key."""

    status = 421
    kind = "not-owner"


class OutcomeUnknown(RequestError):
    """The request may have reached an endpoint and its outcome is not known."""

    status = 502
    outcome = "unknown"
    kind = "outcome-unknown"
