"""Fingerprints that identify resends of the same request."""

import functools
import hashlib
import ipaddress

__all__ = ["fingerprint_of"]

FINGERPRINT_BYTES = 16
HOST_CACHE_SIZE = 1024


@functools.lru_cache(maxsize=HOST_CACHE_SIZE)
def host_name_or_empty(host):
    """Return the host, or ``""`` for an IP address, which only identifies an entry."""
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return host
    return ""


def fingerprint_of(request):
    """Return a digest that is equal for resends of the same request.

    A caller that addresses entries by IP address sends a different ``Host`` when it
    resends through another entry. IP addresses are therefore left out, while host
    names, which routes can match, are included.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, host_name_or_empty(request.host), request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
