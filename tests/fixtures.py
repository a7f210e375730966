"""Rows and edits shared by tests."""

import itertools

from monsoonline.adapters.platform import PlatformClient
from monsoonline.adapters.table_store import HttpTableStore
from monsoonline.ports import ProposedChange

numbers = itertools.count(1)


class WideLimits:
    """Budgets that never delay a test."""

    READS_PER_SECOND = WRITES_PER_SECOND = 1e6
    READ_BURST = WRITE_BURST = 1e6


def pool_document(department="sales", slots=3, address="127.0.0.1:9000"):
    upstream = {"address": address, "slots": slots}
    return {"department": department, "upstreams": [upstream]}


def route_document(pool="quotes", department="sales", **fields):
    return {"department": department, "pool": pool, "idempotent": True, **fields}


def edit(table, name, document, *, expected=0, department="sales", change_id=None):
    """Return a proposed change with an id of its own unless one is given."""
    return ProposedChange(
        change_id=change_id or f"change-{next(numbers)}",
        table=table,
        name=name,
        department=department,
        expected_version=expected,
        document=document,
    )


def table_store(platform, *, limits=WideLimits, **options):
    """Return a store client of a platform stand-in."""
    return HttpTableStore(
        client=PlatformClient(url=platform.url, limits=limits, **options)
    )
