"""Interfaces of the core to the platform, the upstreams and the other entries."""

import dataclasses
from typing import Protocol, runtime_checkable

from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import FleetMember
from monsoonline.core.model import Tables, Upstream
from monsoonline.core.registrations import Listing
from monsoonline.types import Answer, Request

__all__ = [
    "Change",
    "Member",
    "ObjectStore",
    "PeerNetwork",
    "ProposedChange",
    "Row",
    "RowSnapshot",
    "SharedItem",
    "SharedStore",
    "StoredState",
    "TableStore",
    "UpstreamTransport",
    "VirtualMachine",
    "VirtualMachineList",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProposedChange:
    """An edit of one row that is not committed yet.

    :param change_id: id assigned by the writer, unique for each edit
    :param table: ``routes`` or ``pools``
    :param name: name of the row
    :param department: department that makes the edit
    :param expected_version: row version that the editor read, 0 for a new row,
        ``None`` for an unconditional edit
    :param document: new content of the row as a JSON object, ``None`` to delete it
    :param author: person who made the edit, for display only
    :param wall_ms: wall-clock time of the edit in milliseconds, for display only
    """

    change_id: str
    table: str
    name: str
    department: str
    expected_version: int | None
    document: dict | None
    author: str = ""
    wall_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A committed edit.

    :param revision: position in the sequence of all changes
    :param version: version of the row after the change, 0 if the row was deleted
    :param proposal: the committed edit
    :param before: version of the row before the change, 0 if the row did not exist
    """

    revision: int
    version: int
    proposal: ProposedChange
    before: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One stored row of a table.

    :param table: ``routes`` or ``pools``
    :param name: name of the row
    :param version: revision of the change that wrote the row
    :param document: content of the row as a JSON object
    """

    table: str
    name: str
    version: int
    document: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowSnapshot:
    """All rows at one revision."""

    revision: int
    rows: tuple[Row, ...]


class TableStore(Protocol):
    """Transactional table service of the platform.

    Reads raise :class:`monsoonline.errors.StoreUnavailable` on failure.
    """

    def revision(self) -> int:
        """Return the revision of the last committed change."""

    def observe_revision(self, revision: int) -> None:
        """Treat further reads that return an older revision as stale."""

    def read_tables(self) -> Tables:
        """Return both tables at one revision."""

    def read_rows(self) -> RowSnapshot:
        """Return the rows of both tables at one revision."""

    def read_row(self, table: str, name: str) -> Row | None:
        """Return one row, ``None`` if it does not exist."""

    def read_history(self, table: str, name: str) -> tuple[Change, ...]:
        """Return the changes of one row, in order."""

    def read_changes(self, since: int) -> tuple[Change, ...]:
        """Return the changes after a revision, in order."""

    def commit(self, change: ProposedChange) -> Change:
        """Commit one edit.

        :raises StoreUnavailable: if the service failed and the edit was not applied
        :raises CommitUnknown: if the response was lost
        :raises EditConflict: if the row changed after the editor read it
        :raises EditRefused: if a rule forbids the edit
        :raises FindingsError: if the document is invalid
        """

    def find_change(self, change_id: str) -> Change | None:
        """Return the committed change with this id, or ``None``."""


class ObjectStore(Protocol):
    """Object store of the platform."""

    def put(self, name: str, content: bytes) -> None:
        """Store an object, replacing any object with the same name."""

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, ``None`` if it does not exist."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VirtualMachine:
    """One VM in the platform's list.

    :param name: name of the VM
    :param role: ``entry`` or ``upstream``
    :param address: ``host:port`` of its main service
    :param failure_domain: failure domain in which it runs
    :param leaving: whether the platform is about to remove it
    :param peer_address: ``host:port`` for peer messages, only for entries
    """

    name: str
    role: str
    address: str
    failure_domain: str
    leaving: bool = False
    peer_address: str = ""


class VirtualMachineList(Protocol):
    """The platform's list of live and leaving VMs, which may be out of date."""

    def read(self) -> tuple[VirtualMachine, ...]:
        """Return the VMs currently known to the platform."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredState:
    """Result of one read of the shared store.

    Revisions are those of :class:`monsoonline.core.store_revisions.StoreRevision`.

    :param tables_revision: revision of the stored tables, 0 if there are none
    :param tables: the encoded tables, ``None`` if the reader already has them
    :param listing: registrations of upstreams
    """

    tables_revision: int
    tables: bytes | None
    listing: Listing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JoinedFleet:
    """What the entries keep in the shared store.

    :param members: the listed entries
    :param crashes: reports of requests that crash upstreams
    :param era: era of the store that keeps them
    """

    members: tuple[FleetMember, ...]
    crashes: tuple[CrashReport, ...] = ()
    era: int = 0


class SharedStore(Protocol):
    """Shared store of the platform, used by entries without a disk.

    Calls raise :class:`monsoonline.errors.StoreUnavailable` on failure. Reads may be
    retried.
    """

    def join(self, member: FleetMember) -> JoinedFleet:
        """Add an entry to the list of entries; return what the entries keep."""

    def record_crashes(self, reports: tuple[CrashReport, ...]) -> None:
        """Merge reports into what is kept of requests that crash upstreams."""

    def read(self, tables_revision: int) -> StoredState:
        """Return all registrations, and the tables if newer than a revision.

        :param tables_revision: revision of the tables that the reader already has
        """


class UpstreamTransport(Protocol):
    """Sends requests to upstreams."""

    def exchange(
        self, upstream: Upstream, request: Request, *, deadline: float, idempotent: bool
    ) -> Answer:
        """Send a request and return the complete response."""

    def is_reachable(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts a new connection."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Membership record of one entry.

    :param name: name of the entry
    :param incarnation: 64 random bits in hexadecimal, different for each process
    :param address: ``host:port`` for callers
    :param peer_address: ``host:port`` for peer messages
    :param failure_domain: failure domain in which it runs
    :param state: ``alive``, ``suspect``, ``leaving`` or ``gone``
    :param ready: whether discovery may return it to callers
    :param revision: last table revision that it reported
    """

    name: str
    incarnation: str
    address: str
    peer_address: str
    failure_domain: str
    state: str = "alive"
    ready: bool = False
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedItem:
    """A small item of state that entries distribute to each other.

    :param kind: type of the item, such as ``drain``
    :param key: subject of the item
    :param owner: incarnation of the entry that published it
    :param version: number that the owner increases with each publication
    :param age_ms: time since publication in milliseconds, summed over all hops
    :param payload: content, at most 512 bytes
    """

    kind: str
    key: str
    owner: str
    version: int
    age_ms: float
    payload: bytes


@runtime_checkable
class PeerNetwork(Protocol):
    """Membership of entries and messages between them."""

    @property
    def address(self) -> str:
        """``host:port`` for peer messages."""

    def start(self) -> None:
        """Start exchanging messages."""

    def close(self) -> None:
        """Stop without notifying the other members."""

    def members(self) -> tuple[Member, ...]:
        """Return all known members, this entry first."""

    def set_own(self, **changes) -> None:
        """Update and announce this entry's own record.

        :param changes: new values of ``ready``, ``leaving``, ``revision``,
            ``checksum`` or ``address``
        """

    def publish(self, kind: str, key: str, payload: bytes) -> None:
        """Distribute a shared item to all members."""

    def subscribe(self, kind: str, handler) -> None:
        """Call ``handler(item)`` for each new version of a :class:`SharedItem`."""

    def request(
        self, member: Member, kind: str, payload: bytes, *, timeout_ms: float
    ) -> bytes:
        """Send a request to one member and return its reply.

        :raises PeerUnavailable: if no reply arrives within ``timeout_ms``
        """

    def serve(self, kind: str, handler) -> None:
        """Handle requests of a kind with ``handler(member_name, payload)``."""

    def export_metrics(self) -> None:
        """Copy the counters into the metrics before a scrape."""
