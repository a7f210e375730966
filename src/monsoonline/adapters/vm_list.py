"""The VM list port over the platform's HTTP service."""

import threading

import orjson

from monsoonline.errors import StoreUnavailable
from monsoonline.ports import VirtualMachine

__all__ = ["HttpVirtualMachineList"]

TARGET = "/v1/machines"
UNCHANGED = 304


class HttpVirtualMachineList:
    """The platform's VM list; it lags.

    Reads are conditional, since an unchanged list would be most of an entry's control
    traffic: 2.4 KB for 20 entries, read about every 1.4 s.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client
        self._lock = threading.Lock()
        self._entity_tag = ""
        self._rows = ()

    def read(self):
        """Return the rows of the VM list.

        :raises StoreUnavailable: when the service did not answer
        """
        with self._lock:
            answer = self._client.get_if_changed(TARGET, entity_tag=self._entity_tag)
            if answer.status == UNCHANGED:
                return self._rows
            if answer.status != 200:
                raise StoreUnavailable(f"GET {TARGET} returned {answer.status}")
            self._rows = parse_rows(answer.content)
            self._entity_tag = answer.entity_tag
            return self._rows


def parse_rows(content):
    """Parse the document of the VM list.

    :raises StoreUnavailable: when it is not understood
    """
    try:
        document = orjson.loads(content)
        return tuple(VirtualMachine(**row) for row in document["vms"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(f"GET {TARGET} was not understood: {error}") from error
