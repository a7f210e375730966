"""Rules for edits, expressed as conditions of one transaction.

A rule that was checked by a read before the write would be broken by an edit that
commits between the two. Each rule is therefore a condition that the table service
checks at the commit.
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
    "refusal_of",
    "same_edit",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionCondition:
    """A row has a version; 0 stands for a row that does not exist."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExistsCondition:
    """A row exists."""

    table: str
    key: str
    exists: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CountCondition:
    """The number of rows of a table whose field has a value."""

    table: str
    field: str
    equals: str
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """New content of a row, ``None`` to delete it."""

    table: str
    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Conditions and writes that take effect together or not at all."""

    conditions: tuple[VersionCondition | ExistsCondition | CountCondition, ...]
    writes: tuple[Write, ...]


def plan_edit(proposal, current):
    """Return the transaction of an edit.

    :param proposal: the :class:`monsoonline.ports.ProposedChange`
    :param current: the :class:`monsoonline.ports.Row` as read, or ``None``
    :returns: :class:`Transaction`
    :raises EditConflict: when the row has another version than expected
    :raises EditRefused: when a rule forbids the edit
    :raises FindingsError: when the document is not valid
    """
    check_department(proposal, current)
    version = current.version if current else 0
    expected = proposal.expected_version
    if expected is not None and expected != version:
        raise conflict(proposal, current)
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
    own = VersionCondition(table=proposal.table, key=proposal.name, version=version)
    write = Write(table=proposal.table, key=proposal.name, value=proposal.document)
    return Transaction(conditions=(own, *reference_rules(proposal)), writes=(write,))


def check_department(proposal, current):
    """Refuse an edit of a row of another department.

    The department in the row read holds at the commit too, because the transaction
    has the row's version as a condition.
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


def reference_rules(proposal):
    """Return the conditions that keep references between the tables whole."""
    if proposal.table == "routes" and proposal.document is not None:
        return (ExistsCondition(table="pools", key=proposal.document["pool"]),)
    if proposal.table == "pools" and proposal.document is None:
        return (CountCondition(table="routes", field="pool", equals=proposal.name),)
    return ()


def refusal_of(proposal, condition, *, current, count):
    """Return the error that explains a failed condition.

    :param proposal: the edit
    :param condition: the condition that does not hold
    :param current: the row found, for a condition on a row
    :param count: the number found, for a condition on a count
    """
    if isinstance(condition, ExistsCondition):
        return EditRefused(
            f"route {proposal.name!r} names pool {condition.key!r}, which does not "
            "exist; create the pool first",
            code="missing-pool",
        )
    if isinstance(condition, CountCondition):
        return EditRefused(
            f"pool {proposal.name!r} is used by {count} route(s); change these first",
            code="pool-in-use",
        )
    return conflict(proposal, current)


def conflict(proposal, current):
    """Return the error for a row that has another version than expected."""
    found = f"version {current.version}" if current else "no row"
    return EditConflict(
        f"{proposal.table} row {proposal.name!r}: expected version "
        f"{proposal.expected_version!r}, found {found}",
        current=current,
    )


def same_edit(first, second):
    """Return whether two proposals with one change id are the same edit."""
    return all(
        getattr(first, field) == getattr(second, field)
        for field in ("table", "name", "department", "expected_version", "document")
    )
