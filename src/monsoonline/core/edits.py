"""Rules for edits, expressed as conditions of a transaction.

A rule that is checked by a read before the write could be violated by an edit that
commits between the two. The table service therefore checks each rule at commit time,
as a condition of the transaction.
"""

import dataclasses

from monsoonline.core.documents import row_findings
from monsoonline.errors import EditConflict, EditRefused, FindingsError

__all__ = [
    "CountCondition",
    "ExistsCondition",
    "Transaction",
    "VersionCondition",
    "Write",
    "plan_edit",
    "condition_error",
    "is_same_edit",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionCondition:
    """Requires that a row has a version; 0 requires that it does not exist."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExistsCondition:
    """Requires that a row exists."""

    table: str
    key: str
    exists: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CountCondition:
    """Requires a number of rows whose ``field`` equals a value."""

    table: str
    field: str
    equals: str
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """New content of a row.

    :param value: the document, ``None`` to delete the row
    """

    table: str
    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold."""

    conditions: tuple[VersionCondition | ExistsCondition | CountCondition, ...]
    writes: tuple[Write, ...]


def plan_edit(proposal, current):
    """Return the transaction that performs an edit.

    :param proposal: the :class:`monsoonline.ports.ProposedChange`
    :param current: the current :class:`monsoonline.ports.Row`, ``None`` if it does
        not exist
    :returns: :class:`Transaction`
    :raises EditConflict: if the row has another version than expected
    :raises EditRefused: if a rule forbids the edit
    :raises FindingsError: if the document is invalid
    """
    check_department(proposal, current)
    version = current.version if current else 0
    expected = proposal.expected_version
    if expected is not None and expected != version:
        raise version_conflict(proposal, current)
    if proposal.document is None and current is None:
        raise EditRefused(
            f"{proposal.table} has no row {proposal.name!r}", code="missing-row"
        )
    if proposal.document is not None:
        findings = row_findings(
            proposal.table, proposal.name, proposal.document, place="request"
        )
        if findings:
            raise FindingsError(findings)
    unchanged = VersionCondition(
        table=proposal.table, key=proposal.name, version=version
    )
    write = Write(table=proposal.table, key=proposal.name, value=proposal.document)
    return Transaction(
        conditions=(unchanged, *reference_conditions(proposal)), writes=(write,)
    )


def check_department(proposal, current):
    """Raise :class:`EditRefused` for an edit of another department's row.

    Checking the row that was read is sufficient: the transaction requires the row's
    version to be unchanged, so the department is still the same at commit time.
    """
    owners = []
    if current is not None:
        owners.append(current.document["department"])
    if proposal.document is not None and "department" in proposal.document:
        owners.append(proposal.document["department"])
    for owner in owners:
        if owner != proposal.department:
            raise EditRefused(
                f"{proposal.table} row {proposal.name!r} belongs to department "
                f"{owner!r}; department {proposal.department!r} edits only its own",
                code="other-department",
            )


def reference_conditions(proposal):
    """Return the conditions that keep references from routes to pools valid."""
    if proposal.table == "routes" and proposal.document is not None:
        return (ExistsCondition(table="pools", key=proposal.document["pool"]),)
    if proposal.table == "pools" and proposal.document is None:
        return (CountCondition(table="routes", field="pool", equals=proposal.name),)
    return ()


def condition_error(proposal, condition, *, current, count):
    """Return the error that explains a failed condition.

    :param proposal: the :class:`monsoonline.ports.ProposedChange`
    :param condition: the condition that failed
    :param current: the row found, for a :class:`VersionCondition`
    :param count: the number of rows found, for a :class:`CountCondition`
    :returns: :class:`EditRefused` or :class:`EditConflict`
    """
    if isinstance(condition, ExistsCondition):
        return EditRefused(
            f"route {proposal.name!r} names pool {condition.key!r}, which does not "
            "exist; create the pool first",
            code="missing-pool",
        )
    if isinstance(condition, CountCondition):
        return EditRefused(
            f"pool {proposal.name!r} is used by {count} route(s); change them first",
            code="pool-in-use",
        )
    return version_conflict(proposal, current)


def version_conflict(proposal, current):
    """Return the error for a row whose version is not the expected one."""
    found = f"version {current.version}" if current else "no row"
    return EditConflict(
        f"{proposal.table} row {proposal.name!r}: expected version "
        f"{proposal.expected_version!r}, found {found}",
        current=current,
    )


def is_same_edit(first, second):
    """Return whether two proposals with the same change id are the same edit."""
    return all(
        getattr(first, field) == getattr(second, field)
        for field in ("table", "name", "department", "expected_version", "document")
    )
