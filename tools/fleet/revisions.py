"""Detects decreases of the revisions that entries report and log."""

import collections
import contextlib
import time

from tools.fleet.clients import NoResponse

__all__ = ["RevisionWatch", "logged_reversals"]

POLL_SECONDS = 0.002
TIMEOUT_SECONDS = 30.0


def count_reversals(revisions):
    """Return the number of decreases in a sequence."""
    return sum(
        later < earlier
        for earlier, later in zip(revisions, revisions[1:], strict=False)
    )


def logged_reversals(entries):
    """Count decreases of the revision in the "tables in effect" lines of each process.

    :returns: number of lines and number of decreases
    """
    lines = reversals = 0
    for entry in entries:
        for process in entry.processes:
            revisions = [
                line["revision"]
                for line in process.log_lines
                if line["message"] == "tables in effect"
            ]
            lines += len(revisions)
            reversals += count_reversals(revisions)
    return lines, reversals


class RevisionWatch:
    """Polls the revisions in effect and records them by incarnation."""

    def __init__(self):
        self._revisions = collections.defaultdict(list)

    @property
    def polls(self):
        """Number of revisions observed."""
        return sum(len(revisions) for revisions in self._revisions.values())

    @property
    def reversals(self):
        """Number of observed decreases of the revision of a process."""
        return sum(count_reversals(revisions) for revisions in self._revisions.values())

    def poll(self, entry):
        """Return the revision of an entry; 0 if it does not respond."""
        with contextlib.suppress(NoResponse):
            status = entry.status()
            self._revisions[status["incarnation"]].append(status["revision"])
            return status["revision"]
        return 0

    def wait_for(self, entries, revision, *, replaced=lambda entry: False):
        """Wait until a revision is in effect at all entries.

        :param replaced: predicate for entries that are being replaced; they are no
            longer waited for
        :returns: :func:`time.monotonic` when the last entry reported the revision
        :raises TimeoutError: when the revision is not in effect after 30 s
        """
        end = time.monotonic() + TIMEOUT_SECONDS
        pending = list(entries)
        while pending:
            if time.monotonic() > end:
                names = ", ".join(entry.name for entry in pending)
                raise TimeoutError(f"revision {revision} is not in effect at {names}")
            pending = [
                entry
                for entry in pending
                if not replaced(entry) and self.poll(entry) < revision
            ]
            time.sleep(POLL_SECONDS)
        return time.monotonic()
