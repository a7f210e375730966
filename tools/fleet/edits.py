"""Edits by an operator through the administration API."""

import dataclasses
import time

from tools.fleet.deployment import TOKENS

from monsoonline.commands.administration_client import AdministrationClient

__all__ = ["Editor", "EditOutcome", "NotAccepted"]

EDIT_TIMEOUT_SECONDS = 30.0
RETRY_DELAY_SECONDS = 0.2
ACCEPTED_STATUSES = (200, 202)
# Either it is unknown whether the edit was committed, or it certainly was not. In both
# cases it is safe to resend it with the same change id.
UNDECIDED_STATUSES = (503, 504)


class NotAccepted(Exception):
    """An edit required by the experiment was rejected or its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditOutcome:
    """The final response to one edit.

    :param change_id: id of the edit
    :param status: HTTP status of the last response
    :param document: JSON value of the last response
    :param since: time from which propagation is measured: that of the response if its
        status is 200, else that of the first request, which precedes the commit
    :param started: time of the first request
    :param attempts: number of requests sent
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
        """Return version and document of a row, or ``None`` if it cannot be read."""
        response = self._client(entry).call("GET", f"/v1/{table}/{name}")
        if response.status != 200:
            return None
        return response.document["version"], response.document["row"]

    def put(self, entries, table, name, document, *, version, change_id):
        """Write a row, resending the edit with the same id until its outcome is known.

        :param entries: entries to send to, in turn
        :param version: expected version of the row; 0 if it must not exist
        :returns: :class:`EditOutcome`
        :raises NotAccepted: when the outcome is still unknown after 30 s
        """
        started = time.monotonic()
        headers = {"Monsoonline-Change-Id": change_id}
        headers |= {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
        attempts = 0
        while time.monotonic() - started < EDIT_TIMEOUT_SECONDS:
            client = self._client(entries[attempts % len(entries)])
            attempts += 1
            response = client.call(
                "PUT", f"/v1/{table}/{name}", document=document, headers=headers
            )
            if response.status not in UNDECIDED_STATUSES:
                since = time.monotonic() if response.status == 200 else started
                return EditOutcome(
                    change_id=change_id,
                    status=response.status,
                    document=response.document,
                    since=since,
                    started=started,
                    attempts=attempts,
                )
            time.sleep(RETRY_DELAY_SECONDS)
        raise NotAccepted(
            f"outcome of {change_id!r} unknown: {response.status} {response.document}"
        )

    def _client(self, entry):
        url = f"http://{entry.operations}"
        return AdministrationClient(url=url, token=TOKENS[self._department])
