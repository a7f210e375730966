"""Reads JSON documents from the operations ports of entries."""

import concurrent.futures
import dataclasses
import http.client

import orjson

__all__ = ["EntryDocument", "read_entries"]

MAX_PARALLEL_READS = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryDocument:
    """Result of reading a document from one entry.

    :param address: ``host:port`` of the entry's operations port
    :param document: JSON document, ``None`` if it could not be read
    :param error: why the document could not be read, ``""`` on success
    """

    address: str
    document: dict | None = None
    error: str = ""


def read_entry(address, path, *, timeout_ms):
    """Read a document from one entry; errors are returned in the result."""
    connection = http.client.HTTPConnection(address, timeout=timeout_ms / 1e3)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        content = response.read()
        if response.status != 200:
            return EntryDocument(
                address=address, error=f"HTTP status {response.status}, expected 200"
            )
        return EntryDocument(address=address, document=orjson.loads(content))
    except (OSError, http.client.HTTPException, ValueError) as error:
        return EntryDocument(address=address, error=repr(error))
    finally:
        connection.close()


def read_entries(addresses, path, *, timeout_ms):
    """Read the same document from several entries in parallel.

    :param addresses: ``host:port`` of the entries' operations ports
    :param path: URL path of the document
    :param timeout_ms: time limit for each entry in milliseconds
    :returns: a tuple of :class:`EntryDocument` in the order of the addresses
    """
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_READS) as executor:
        return tuple(
            executor.map(
                lambda a: read_entry(a, path, timeout_ms=timeout_ms), addresses
            )
        )
