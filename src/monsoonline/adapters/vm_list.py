"""The VM list port over the platform's HTTP service."""

from monsoonline.ports import VirtualMachine

__all__ = ["HttpVirtualMachineList"]


class HttpVirtualMachineList:
    """The platform's VM list; it lags.

    :param client: :class:`monsoonline.adapters.platform.PlatformClient`
    """

    def __init__(self, *, client):
        self._client = client

    def read(self):
        """Return the rows of the VM list.

        :raises StoreUnavailable: when the service did not answer
        """
        document = self._client.get_document("/v1/machines")
        return tuple(VirtualMachine(**row) for row in document["vms"])
