"""The object store port over the platform's HTTP service."""

from monsoonline.adapters.platform import ResponseLost
from monsoonline.errors import StoreUnavailable

__all__ = ["HttpObjectStore"]


class HttpObjectStore:
    """Objects of the platform.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client

    def put(self, name, content):
        """Store an object, replacing an earlier one.

        :raises StoreUnavailable: when the write failed or its response was lost
        """
        try:
            status, _ = self._client.send_once("PUT", f"/v1/objects/{name}", content)
        except ResponseLost as error:
            raise StoreUnavailable(str(error)) from error
        if status != 200:
            raise StoreUnavailable(f"PUT {name} returned {status}")

    def get(self, name):
        """Return an object's content, or ``None``.

        :raises StoreUnavailable: when the service did not answer
        """
        status, content = self._client.get(f"/v1/objects/{name}")
        return content if status == 200 else None
