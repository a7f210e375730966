"""Exceptions with error codes, and findings of input validation."""

import dataclasses

from monsoonline.types import Outcome

__all__ = [
    "CommitUnknown",
    "EditConflict",
    "EditRefused",
    "Finding",
    "FindingsError",
    "MonsoonlineError",
    "PeerMessageRejected",
    "PeerUnavailable",
    "Refusal",
    "StaleRead",
    "StoreUnavailable",
]


class MonsoonlineError(Exception):
    """Base class of the package's errors.

    :param message: human-readable description
    :param code: stable machine-readable name, ``default_code`` of the class by default
    """

    default_code = "error"

    def __init__(self, message, *, code=None):
        super().__init__(message)
        self._code = code or self.default_code

    @property
    def code(self):
        """Stable machine-readable name of the error, such as ``no-route``."""
        return self._code

    @property
    def message(self):
        """Human-readable description of the error."""
        return str(self)


class Refusal(MonsoonlineError):
    """Raised when the system refuses a caller's request.

    :param message: human-readable description
    :param code: stable machine-readable name of the cause
    :param outcome: ``NOT_RUN`` only if no attempt can have run the request
    :param status: HTTP status code of the response
    :param retry_after_ms: delay before a retry in milliseconds, or ``None``
    """

    default_code = "refused"

    def __init__(self, message, *, code, outcome, status, retry_after_ms=None):
        super().__init__(message, code=code)
        self._outcome = Outcome(outcome)
        self._status = status
        self._retry_after_ms = retry_after_ms

    @property
    def outcome(self):
        """:class:`monsoonline.types.Outcome` that the refusal reports."""
        return self._outcome

    @property
    def status(self):
        """HTTP status code of the response."""
        return self._status

    @property
    def retry_after_ms(self):
        """Delay before a retry in milliseconds, or ``None``."""
        return self._retry_after_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One validation error in a settings file, a table row or a request.

    :param place: file name or part of the request
    :param path: position in the file or part, such as ``pools[quotes].slots``
    :param value: invalid value
    :param expected: description of valid values
    """

    place: str
    path: str
    value: object
    expected: str

    def __str__(self):
        return f"{self.place}: {self.path}: {self.value!r}, expected {self.expected}"


class FindingsError(MonsoonlineError):
    """Raised for invalid input, with all findings of the validation.

    :param findings: :class:`Finding` items, at least one
    """

    default_code = "invalid"

    def __init__(self, findings):
        self._findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self._findings))

    @property
    def findings(self):
        """All findings, in the order of validation."""
        return self._findings


class PeerUnavailable(MonsoonlineError):
    """Raised when another entry did not reply; it may have handled the request."""

    default_code = "peer-unavailable"


class StoreUnavailable(MonsoonlineError):
    """Raised when the table service failed a request; no data was changed."""

    default_code = "store-unavailable"


class CommitUnknown(MonsoonlineError):
    """Raised when the response to a commit was lost; it may have taken effect.

    :param message: human-readable description
    :param change_id: id by which the writer can query the outcome of the commit
    """

    default_code = "commit-unknown"

    def __init__(self, message, *, change_id):
        super().__init__(message)
        self._change_id = change_id

    @property
    def change_id(self):
        """Id of the change whose outcome is unknown."""
        return self._change_id


class EditConflict(MonsoonlineError):
    """Raised when a row changed after the editor read it.

    :param message: human-readable description
    :param current: current version of the row, ``None`` if it does not exist
    """

    default_code = "conflict"

    def __init__(self, message, *, current):
        super().__init__(message)
        self._current = current

    @property
    def current(self):
        """Current version of the row, ``None`` if it does not exist."""
        return self._current


class EditRefused(MonsoonlineError):
    """Raised when a rule forbids the edit, regardless of the row's version.

    The codes are ``other-department``, ``missing-pool``, ``pool-in-use``,
    ``missing-row`` and ``change-id-reused``.
    """

    default_code = "edit-refused"


class StaleRead(StoreUnavailable):
    """Raised when a read returned an older revision than a previous read."""

    default_code = "stale-read"


class PeerMessageRejected(MonsoonlineError):
    """Raised when a message to the peer port is dropped; the code is the cause."""

    default_code = "malformed"
