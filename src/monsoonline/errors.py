"""Exceptions with codes, and findings that name their place."""

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

    :param message: text for people
    :param code: stable short name for programs
    """

    default_code = "error"

    def __init__(self, message, *, code=None):
        super().__init__(message)
        self._code = code or self.default_code

    @property
    def code(self):
        """Stable short name of the error, such as ``no-route``."""
        return self._code

    @property
    def message(self):
        """Text of the error for people."""
        return str(self)


class Refusal(MonsoonlineError):
    """The system refuses a caller's request.

    :param message: text for people
    :param code: stable short name of the cause
    :param outcome: ``NOT_RUN`` only when no attempt can have run the request
    :param status: HTTP status code of the answer
    :param retry_after_ms: when to try again, or ``None``
    """

    default_code = "refused"

    def __init__(self, message, *, code, outcome, status, retry_after_ms=None):
        super().__init__(message, code=code)
        self._outcome = Outcome(outcome)
        self._status = status
        self._retry_after_ms = retry_after_ms

    @property
    def outcome(self):
        """Whether the request certainly did not run."""
        return self._outcome

    @property
    def status(self):
        """HTTP status code of the answer."""
        return self._status

    @property
    def retry_after_ms(self):
        """Milliseconds after which to try again, or ``None``."""
        return self._retry_after_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One fault in a settings file, a table row or a request.

    :param place: file name or request part
    :param path: position inside the place, such as ``pools[quotes].slots``
    :param value: the value found
    :param expected: what would be valid
    """

    place: str
    path: str
    value: object
    expected: str

    def __str__(self):
        return f"{self.place}: {self.path}: {self.value!r}, expected {self.expected}"


class FindingsError(MonsoonlineError):
    """Input that failed validation; carries all findings together.

    :param findings: the findings, at least one
    """

    default_code = "invalid"

    def __init__(self, findings):
        self._findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self._findings))

    @property
    def findings(self):
        """All findings in the order in which they were collected."""
        return self._findings


class PeerUnavailable(MonsoonlineError):
    """Another entry did not reply; it may have handled the request."""

    default_code = "peer-unavailable"


class StoreUnavailable(MonsoonlineError):
    """The table service did not do what was asked; certainly nothing changed."""

    default_code = "store-unavailable"


class CommitUnknown(MonsoonlineError):
    """A commit was sent and its answer lost; it may have taken effect.

    :param message: text for people
    :param change_id: id by which the writer can ask for the commit's fate
    """

    default_code = "commit-unknown"

    def __init__(self, message, *, change_id):
        super().__init__(message)
        self._change_id = change_id

    @property
    def change_id(self):
        """Id of the change whose fate is not known."""
        return self._change_id


class EditConflict(MonsoonlineError):
    """The row changed since the editor read it.

    :param message: text for people
    :param current: the row's current version, ``None`` where it does not exist
    """

    default_code = "conflict"

    def __init__(self, message, *, current):
        super().__init__(message)
        self._current = current

    @property
    def current(self):
        """The row's current version, or ``None`` where it does not exist."""
        return self._current


class EditRefused(MonsoonlineError):
    """A rule forbids the edit, whatever the row's version.

    The codes are ``other-department``, ``missing-pool``, ``pool-in-use``,
    ``missing-row`` and ``change-id-reused``.
    """

    default_code = "edit-refused"


class StaleRead(StoreUnavailable):
    """A read returned an older revision than one already seen."""

    default_code = "stale-read"


class PeerMessageRejected(MonsoonlineError):
    """A message from the peer port was dropped; the code names the cause."""

    default_code = "malformed"
