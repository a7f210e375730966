"""Hop-by-hop header fields, which apply to one connection and are not forwarded."""

__all__ = ["HOP_BY_HOP", "remove_hop_by_hop"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def remove_hop_by_hop(header_pairs):
    """Remove the hop-by-hop fields, including those listed in Connection.

    :param header_pairs: ``(name, value)`` pairs as received
    :returns: tuple of the end-to-end pairs in their order, with repeated names kept
    """
    removed = HOP_BY_HOP
    for name, value in header_pairs:
        if name.lower() == "connection":
            named = {token.strip(" \t").lower() for token in value.split(",")}
            removed = removed | named
    return tuple(pair for pair in header_pairs if pair[0].lower() not in removed)
