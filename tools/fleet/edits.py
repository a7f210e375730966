"""Edits over the administration API as an operator makes them."""

import dataclasses
import time

from tools.fleet.deployment import TOKENS

from monsoonline.commands.administration_client import AdministrationClient

__all__ = ["Editor", "EditOutcome", "NotAccepted"]

TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = 0.2
ACCEPTED_STATUSES = (200, 202)
# The edit may or may not have been committed, or certainly was not; a resend with the
# same change id is safe in both cases.
UNDECIDED_STATUSES = (503, 504)


class NotAccepted(Exception):
    """An edit that the experiment needs was refused, or remained undecided."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditOutcome:
    """The final answer to one edit.

    :param change_id: id of the edit
    :param status: HTTP status of the last answer
    :param document: JSON value of the last answer
    :param since: instant from which propagation counts: the answer 200, or the first
        request where the answer was 202, which is before the commit
    :param started: instant of the first request
    :param attempts: requests sent
    """

    change_id: str
    status: int
    document: dict
    since: float
    started: float
    attempts: int

    @property
    def accepted(self):
        """Whether the edit was committed."""
        return self.status in ACCEPTED_STATUSES

    @property
    def revision(self):
        """Revision of an accepted edit."""
        return self.document["revision"]


class Editor:
    """An operator of one department.

    :param department: name of the department
    """

    def __init__(self, *, department):
        self._department = department

    def read(self, entry, table, name):
        """Return version and document of a row, or ``None`` without an answer."""
        answer = self._client(entry).call("GET", f"/v1/{table}/{name}")
        if answer.status != 200:
            return None
        return answer.document["version"], answer.document["row"]

    def put(self, entries, table, name, document, *, version, change_id):
        """Write a row, resending with the same id until the outcome is known.

        :param entries: entries to send to, in turn
        :returns: :class:`EditOutcome`
        :raises NotAccepted: when the outcome is not known at the limit
        """
        started = time.monotonic()
        headers = {"Monsoonline-Change-Id": change_id}
        headers |= {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
        attempts = 0
        while time.monotonic() - started < TIMEOUT_SECONDS:
            client = self._client(entries[attempts % len(entries)])
            attempts += 1
            answer = client.call(
                "PUT", f"/v1/{table}/{name}", document=document, headers=headers
            )
            if answer.status not in UNDECIDED_STATUSES:
                known = time.monotonic() if answer.status == 200 else started
                return EditOutcome(
                    change_id=change_id,
                    status=answer.status,
                    document=answer.document,
                    since=known,
                    started=started,
                    attempts=attempts,
                )
            time.sleep(RETRY_SECONDS)
        raise NotAccepted(f"{change_id}: {answer.status} {answer.document}")

    def _client(self, entry):
        url = f"http://{entry.operations}"
        return AdministrationClient(url=url, token=TOKENS[self._department])
