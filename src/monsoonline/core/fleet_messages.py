"""Messages between entries about themselves, the store and upstreams."""

import dataclasses
import enum
import math

from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import FleetMember, MemberAge
from monsoonline.core.peer_reads import Reader
from monsoonline.core.registrations import Registration, RegistrationDelta
from monsoonline.core.restored_registrations import Removal
from monsoonline.core.upstream_limits import LimitObservation
from monsoonline.types import LoadReport

__all__ = [
    "ClockReply",
    "ClockRequest",
    "Heartbeat",
    "FailureNotice",
    "LimitAge",
    "LoadNotice",
    "OwnerCheck",
    "PermitReply",
    "PermitRequest",
    "PermitResult",
    "PermitReturn",
    "ReadNotice",
    "SharedStateCopy",
    "UpstreamFailure",
    "UpstreamLoad",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Periodic message to a few entries with known members and state revisions.

    :param sender: the sending entry
    :param members: other members of its failure domain, with the age of each update
    :param tables_revision: revision of the tables in effect
    :param registrations_revision: revision of the registrations in effect
    :param registrations_digest: digest of the registrations in effect
    """

    sender: FleetMember
    members: tuple[MemberAge, ...]
    tables_revision: int
    registrations_revision: int
    registrations_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadNotice:
    """Message to all entries after each successful read of the store.

    :param sender: the entry that read
    :param incarnation: number of the start of the sender
    :param read_at: time in ms at which the read began, on the clock of the sender
    :param tables_revision: revision of the tables in the store
    :param delta: changes of the registrations that the read found
    """

    sender: FleetMember
    incarnation: int
    read_at: float
    tables_revision: int
    delta: RegistrationDelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailure:
    """A failure of an upstream that an entry observed.

    :param instance: id of the upstream
    :param weight: weight of the failure, as in :mod:`monsoonline.core.upstream_view`
    """

    instance: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureNotice:
    """Message with failures and crash reports since the sender's last notice.

    :param sender: the sending entry
    :param failures: failures of upstreams
    :param crashes: requests that were running when upstreams crashed
    """

    sender: FleetMember
    failures: tuple[UpstreamFailure, ...]
    crashes: tuple[CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """A load report that an entry has just received.

    :param instance: id of the upstream
    :param report: its :class:`monsoonline.types.LoadReport`
    :param limit: requests per second that it accepts, ``None`` without a limit
    """

    instance: str
    report: LoadReport
    limit: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadNotice:
    """Message within a failure domain with the load reports of one decision.

    :param sender: name of the sending entry
    :param loads: the newest report of each upstream that was probed
    :param chosen: id of the upstream that got the request, empty if none did
    """

    sender: str
    loads: tuple[UpstreamLoad, ...]
    chosen: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedStateCopy:
    """The complete state that an entry transfers to another.

    :param tables_revision: revision of ``tables``, 0 without tables
    :param tables: the tables as stored, empty if the requesting entry has them
    :param registrations_revision: revision of ``registrations``
    :param registrations: all registrations, ``None`` if the requesting entry has them
    :param read_age_ms: age of the newest known read of the store
    :param members: all members known to the sending entry
    :param removals: upstreams that were removed lately
    :param departures: id and start time of upstreams that were leaving lately
    :param serving: whether the sender serves and has included removals and departures,
        which the requesting entry asks for once
    """

    tables_revision: int
    tables: bytes
    registrations_revision: int
    registrations: tuple[Registration, ...] | None
    read_age_ms: float | None
    members: tuple[MemberAge, ...]
    removals: tuple[Removal, ...] = ()
    departures: tuple[tuple[str, int], ...] = ()
    serving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitAge:
    """An observation of an upstream's limit with ages instead of instants.

    :param limit: requests per second from all entries, ``None`` without a limit
    :param sent_age_ms: time since the request was sent, ``None`` if unknown
    :param received_age_ms: time since the response was received
    """

    limit: float | None
    sent_age_ms: float | None
    received_age_ms: float

    @classmethod
    def of(cls, observation, now):
        """Return a :class:`LimitObservation` relative to the time ``now`` in ms."""
        sent_age_ms = now - observation.sent_at
        return cls(
            limit=observation.limit,
            sent_age_ms=None if math.isinf(sent_age_ms) else sent_age_ms,
            received_age_ms=now - observation.received_at,
        )

    def at(self, now):
        """Return the :class:`LimitObservation` of a message received at ``now``."""
        sent_age_ms = math.inf if self.sent_age_ms is None else self.sent_age_ms
        return LimitObservation(
            limit=self.limit,
            sent_at=now - sent_age_ms,
            received_at=now - self.received_age_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitRequest:
    """Request to an upstream's owner for a permit to send one request.

    :param number: number of the request, repeated in the reply
    :param instance: id of the upstream
    :param born_ms: start time of the upstream
    :param rank: number of more urgent priorities in the pool
    :param observed: the limit that the sender knows
    """

    number: int
    instance: str
    born_ms: int
    rank: int
    observed: LimitAge


class PermitResult(enum.IntEnum):
    """Result of a request for a permit."""

    REFUSED = 0
    ISSUED = 1
    # The receiver does not take itself for the owner of the upstream.
    NOT_OWNER = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitReply:
    """Reply to a :class:`PermitRequest`.

    :param number: number of the request
    :param result: whether the request may be sent
    :param tokens: permits that are left
    :param observed: the limit that the owner knows
    """

    number: int
    result: PermitResult
    tokens: float
    observed: LimitAge


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitReturn:
    """Message to an upstream's owner that an issued permit was not used.

    :param instance: id of the upstream
    :param born_ms: start time of the upstream
    """

    instance: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClockRequest:
    """Request for the time on the clock of an entry that reads the store.

    :param incarnation: number of the start of the sender, repeated in the reply
    :param sent_at: time in ms on the clock of the sender, repeated in the reply
    """

    incarnation: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClockReply:
    """Reply to a :class:`ClockRequest`.

    :param request: the request
    :param reader: the entry that replies
    :param time: time in ms on its clock
    """

    request: ClockRequest
    reader: Reader
    time: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerCheck:
    """Message that checks whether another entry responds.

    :param sender: name of the entry that checks, in the response the one that responds
    :param response: whether this is the response
    """

    sender: str
    response: bool = False
