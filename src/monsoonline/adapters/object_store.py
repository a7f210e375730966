"""Object store port backed by the HTTP service of the platform."""

from monsoonline.adapters.platform import ResponseLost
from monsoonline.errors import StoreUnavailable

__all__ = ["HttpObjectStore"]


class HttpObjectStore:
    """Stores objects in the object store of the platform.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client

    def put(self, name, content):
        """Store an object, replacing any previous one of that name.

        :raises StoreUnavailable: when the write failed or its response was lost
        """
        try:
            status, _ = self._client.send_once("PUT", f"/v1/objects/{name}", content)
        except ResponseLost as error:
            raise StoreUnavailable(str(error)) from error
        if status != 200:
            raise StoreUnavailable(f"PUT {name} returned status {status}, expected 200")

    def get(self, name):
        """Return the content of an object, ``None`` for any status other than 200.

        :raises StoreUnavailable: when the service did not respond
        """
        status, content = self._client.get(f"/v1/objects/{name}")
        return content if status == 200 else None
