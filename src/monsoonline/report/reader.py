"""Reads documents from the operations ports of entries."""

import concurrent.futures
import dataclasses
import http.client

import orjson

__all__ = ["EntryDocument", "read_entries"]

MAX_CONNECTIONS = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryDocument:
    """What one entry answered.

    :param address: ``host:port`` of its operations port
    :param document: the JSON document, ``None`` when it could not be read
    :param error: why it could not be read, ``""`` when it could
    """

    address: str
    document: dict | None = None
    error: str = ""


def read_entry(address, path, *, timeout_ms):
    """Read one document; a failure is part of the result."""
    connection = http.client.HTTPConnection(address, timeout=timeout_ms / 1e3)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        content = response.read()
        if response.status != 200:
            return EntryDocument(address=address, error=f"status {response.status}")
        return EntryDocument(address=address, document=orjson.loads(content))
    except (OSError, http.client.HTTPException, ValueError) as error:
        return EntryDocument(address=address, error=repr(error))
    finally:
        connection.close()


def read_entries(addresses, path, *, timeout_ms):
    """Read the same path of several entries in parallel.

    :param addresses: ``host:port`` of the entries' operations ports
    :param path: path of the document
    :param timeout_ms: time limit for each entry
    :returns: a tuple of :class:`EntryDocument` in the order of the addresses
    """
    with concurrent.futures.ThreadPoolExecutor(MAX_CONNECTIONS) as executor:
        return tuple(
            executor.map(
                lambda a: read_entry(a, path, timeout_ms=timeout_ms), addresses
            )
        )
