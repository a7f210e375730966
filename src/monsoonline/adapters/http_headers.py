"""Header fields that belong to one connection and are never passed on."""

__all__ = ["HOP_BY_HOP", "end_to_end"]

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


def end_to_end(pairs):
    """Remove the hop-by-hop fields, including those that Connection names.

    :param pairs: header pairs as received
    :returns: tuple of the remaining pairs in order, repeated names kept
    """
    removed = HOP_BY_HOP
    for name, value in pairs:
        if name.lower() == "connection":
            named = {token.strip(" \t").lower() for token in value.split(",")}
            removed = removed | named
    return tuple(pair for pair in pairs if pair[0].lower() not in removed)
