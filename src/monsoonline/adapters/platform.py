"""HTTP client of the platform's table service, object store and VM list."""

import http.client
import urllib.parse

import orjson

from monsoonline.core.documents import PoolDocument, RouteDocument
from monsoonline.core.model import Tables
from monsoonline.errors import StoreUnavailable
from monsoonline.ports import VirtualMachine

__all__ = ["PlatformClient"]


class PlatformClient:
    """Reads the tables and the VM list.

    :param url: base URL of the platform
    :param timeout_ms: time limit of one exchange
    """

    def __init__(self, *, url, timeout_ms=1000.0):
        self._netloc = urllib.parse.urlsplit(url).netloc
        self._timeout_ms = timeout_ms

    def read_tables(self):
        """Return both tables at one revision.

        :raises StoreUnavailable: when the service did not answer
        """
        document = self._get("/v1/tables")
        return Tables(
            revision=document["revision"],
            routes={
                name: RouteDocument.model_validate(row).to_model(name)
                for name, row in document["routes"].items()
            },
            pools={
                name: PoolDocument.model_validate(row).to_model(name)
                for name, row in document["pools"].items()
            },
        )

    def read(self):
        """Return the rows of the VM list.

        :raises StoreUnavailable: when the service did not answer
        """
        return tuple(VirtualMachine(**row) for row in self._get("/v1/vms")["vms"])

    def _get(self, target):
        connection = http.client.HTTPConnection(
            self._netloc, timeout=self._timeout_ms / 1e3
        )
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            body = response.read()
            if response.status != 200:
                raise StoreUnavailable(f"GET {target} returned {response.status}")
            return orjson.loads(body)
        except (OSError, http.client.HTTPException) as error:
            raise StoreUnavailable(f"GET {target} failed: {error!r}") from error
        finally:
            connection.close()
