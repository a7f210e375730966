"""Messages in which entries exchange their tables."""

import dataclasses

from monsoonline.core.rows import RowChange

__all__ = [
    "DELTA_KIND",
    "OFFER_KIND",
    "WHOLE_KIND",
    "Delta",
    "DeltaRequest",
    "OfferReply",
    "Whole",
    "WholeRequest",
]

DELTA_KIND = "configuration-delta"
WHOLE_KIND = "configuration-whole"
OFFER_KIND = "configuration-offer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaRequest:
    """Asks for the changes after a revision."""

    since: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Changes after a revision; the reply to a request, and an offer.

    :param since: revision before the first change
    :param revision: revision of the sender
    :param checksum: checksum of the sender's complete tables
    :param ready: whether the sender is ready
    :param complete: whether the changes lead to ``revision``; otherwise the complete
        tables are to be fetched
    :param changes: the changes in order
    """

    since: int
    revision: int
    checksum: str
    ready: bool
    complete: bool
    changes: tuple[RowChange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WholeRequest:
    """Asks for a part of the complete tables.

    :param revision: revision of the parts received so far, 0 for the first one
    :param offset: bytes received so far
    """

    revision: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Whole:
    """A part of the complete tables; also the content of a snapshot.

    :param revision: revision of the tables
    :param checksum: checksum of the tables
    :param total: size of all parts in bytes
    :param offset: position of this part
    :param content: bytes of this part
    """

    revision: int
    checksum: str
    total: int
    offset: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferReply:
    """Revision and readiness of an entry after it has taken in an offer."""

    revision: int
    ready: bool
