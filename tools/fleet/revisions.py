"""Revisions that entries report and log, and whether one ever goes down."""

import collections
import contextlib
import time

from tools.fleet.clients import NoAnswer

__all__ = ["RevisionWatch", "logged_reversals"]

POLL_SECONDS = 0.002
TIMEOUT_SECONDS = 30.0


def count_reversals(revisions):
    """Return how often a sequence goes down."""
    return sum(
        later < earlier
        for earlier, later in zip(revisions, revisions[1:], strict=False)
    )


def logged_reversals(entries):
    """Count falls of the revision in the lines "tables in effect" of each process.

    :returns: number of lines and number of falls
    """
    lines = falls = 0
    for entry in entries:
        for process in entry.processes:
            revisions = [
                line["revision"]
                for line in process.log_lines
                if line["message"] == "tables in effect"
            ]
            lines += len(revisions)
            falls += count_reversals(revisions)
    return lines, falls


class RevisionWatch:
    """Polls the revisions in effect and keeps all of them by incarnation."""

    def __init__(self):
        self._seen = collections.defaultdict(list)

    @property
    def polls(self):
        """Number of revisions seen."""
        return sum(len(revisions) for revisions in self._seen.values())

    @property
    def reversals(self):
        """How often the revision of a process was seen to go down."""
        return sum(count_reversals(revisions) for revisions in self._seen.values())

    def poll(self, entry):
        """Return the revision of an entry, 0 without an answer."""
        with contextlib.suppress(NoAnswer):
            status = entry.status()
            self._seen[status["incarnation"]].append(status["revision"])
            return status["revision"]
        return 0

    def wait_for(self, entries, revision, *, replaced=lambda entry: False):
        """Wait until a revision is in effect at all entries.

        :param replaced: tells whether an entry is being replaced; such an entry is
            not waited for any longer
        :returns: instant at which the last of them was seen with it
        :raises TimeoutError: at the limit
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
