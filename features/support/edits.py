"""Operators' edits and the revisions that entries report."""

import contextlib
import http.client
import threading

import orjson

from support.entries import TOKENS
from support.http import exchange

__all__ = ["RevisionMonitor", "edit", "read_history", "read_row"]

EDIT_SECONDS = 8.0
SAMPLE_SECONDS = 0.1


def headers_of(department):
    """Return the headers that authenticate a department."""
    return {"Authorization": f"Bearer {TOKENS[department]}"}


def read_row(entry, table, name):
    """Return the row's document with its ``version``, or ``None``."""
    target = f"/v1/{table}/{name}"
    reply = exchange(
        entry.operations,
        "GET",
        target,
        headers=headers_of("sales"),
        seconds=EDIT_SECONDS,
    )
    if reply.status == 404:
        return None
    assert reply.status == 200, reply
    return {**reply.document, "version": int(reply.headers["etag"].strip('"'))}


def read_history(entry, table, name):
    """Return the changes of a row, oldest first."""
    target = f"/v1/{table}/{name}/history"
    reply = exchange(entry.operations, "GET", target, headers=headers_of("sales"))
    assert reply.status == 200, reply
    return reply.document["changes"]


def edit(entry, table, name, row, *, version, change_id=None, department="sales"):
    """Write a row under the condition that it has a version.

    :param version: the version read, 0 for a new row
    :param change_id: names the edit; a resend has the same
    :returns: :class:`support.http.HttpReply`
    """
    headers = headers_of(department)
    if version:
        headers["If-Match"] = f'"{version}"'
    else:
        headers["If-None-Match"] = "*"
    if change_id:
        headers["Monsoonline-Change-Id"] = change_id
    return exchange(
        entry.operations,
        "PUT",
        f"/v1/{table}/{name}",
        headers=headers,
        body=orjson.dumps(row),
        seconds=EDIT_SECONDS,
    )


class RevisionMonitor:
    """Samples the revision in effect at every entry and notes each reversal.

    :param deployment: :class:`support.deployment.Deployment`
    """

    def __init__(self, *, deployment):
        self._deployment = deployment
        self._stopping = threading.Event()
        self._highest = {}
        self._reversals = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def reversals(self):
        """Tuples of incarnation, highest revision seen and the lower one."""
        return tuple(self._reversals)

    def stop(self):
        """Stop sampling."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.wait(SAMPLE_SECONDS):
            for entry in self._deployment.live_entries:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self._take(entry.status())

    def _take(self, status):
        if status is None:
            return
        incarnation, revision = status["incarnation"], status["revision"]
        highest = self._highest.get(incarnation, 0)
        # Before it is ready an entry may hold no tables, but never older ones later.
        if revision < highest:
            self._reversals.append((incarnation, highest, revision))
        self._highest[incarnation] = max(highest, revision)
