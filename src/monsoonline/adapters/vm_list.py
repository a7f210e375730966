"""VM list port backed by the HTTP service of the platform."""

import logging
import threading

import orjson

from monsoonline.core.checked_fields import CheckedFields
from monsoonline.errors import FindingsError, StoreUnavailable
from monsoonline.ports import VirtualMachine

__all__ = ["HttpVirtualMachineList"]

TARGET = "/v1/machines"
NOT_MODIFIED = 304
MAX_LOGGED_FINDINGS = 5

logger = logging.getLogger(__name__)


class HttpVirtualMachineList:
    """Reads the VM list of the platform, which lags behind the actual state.

    Reads are conditional, since an unchanged list would otherwise be most of an entry's
    control traffic: 2.4 KB for 20 entries, read about every 1.4 s.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client
        self._lock = threading.Lock()
        self._entity_tag = ""
        self._rows = ()

    def read(self):
        """Return the rows of the VM list.

        :raises StoreUnavailable: when the service did not respond with a valid list
        """
        with self._lock:
            response = self._client.get_if_changed(TARGET, entity_tag=self._entity_tag)
            if response.status == NOT_MODIFIED:
                return self._rows
            if response.status != 200:
                raise StoreUnavailable(
                    f"GET {TARGET} returned status {response.status}"
                )
            self._rows = parse_rows(response.content)
            self._entity_tag = response.entity_tag
            return self._rows


def parse_rows(content):
    """Parse the JSON document of the VM list.

    Invalid rows are skipped, so that one of them does not hide which VMs are leaving.

    :raises StoreUnavailable: when the document is invalid, or all of its rows are
    """
    try:
        rows = tuple(orjson.loads(content)["vms"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(f"GET {TARGET}: invalid VM list: {error}") from error
    machines, findings = [], []
    for index, row in enumerate(rows):
        try:
            machines.append(parse_row(row, place=f"vms[{index}]"))
        except FindingsError as error:
            findings += error.findings
    if findings and not machines:
        raise StoreUnavailable(f"GET {TARGET}: no valid row: {findings[0]}")
    for finding in findings[:MAX_LOGGED_FINDINGS]:
        logger.warning("invalid row of the VM list", extra={"finding": str(finding)})
    return tuple(machines)


def parse_row(row, *, place):
    """Return the :class:`VirtualMachine` of a row.

    :raises FindingsError: when the row is invalid
    """
    if isinstance(row, dict) and row.get("peer_address") == "":
        row = row | {"peer_address": None}
    fields = CheckedFields(row, place=place)
    machine = VirtualMachine(
        name=fields.string("name"),
        role=fields.string("role"),
        address=fields.string("address"),
        failure_domain=fields.string("failure_domain"),
        leaving=fields.boolean("leaving", default=False),
        peer_address=fields.string("peer_address", default=""),
    )
    fields.finish()
    return machine
