"""Messages with which entries exchange their tables."""

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
    """Request for the changes after a revision.

    :param since: revision of the requesting entry
    """

    since: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Changes after a revision, sent as a reply or pushed as an offer.

    :param since: revision before the first change
    :param revision: revision of the sender
    :param checksum: checksum of the sender's complete tables
    :param ready: whether the sender is ready
    :param complete: whether the changes lead up to ``revision``; if not, the receiver
        must fetch the complete tables
    :param changes: the changes in order of revision
    """

    since: int
    revision: int
    checksum: str
    ready: bool
    complete: bool
    changes: tuple[RowChange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WholeRequest:
    """Request for a part of the complete tables.

    :param revision: revision of the parts received so far, 0 for the first request
    :param offset: number of bytes received so far
    """

    revision: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Whole:
    """A part of the complete tables; also the content of a snapshot.

    :param revision: revision of the tables
    :param checksum: checksum of the tables
    :param total: size of all parts in bytes
    :param offset: position of this part in bytes
    :param content: bytes of this part
    """

    revision: int
    checksum: str
    total: int
    offset: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferReply:
    """Reply to an offer.

    :param revision: revision of the replying entry after it handled the offer
    :param ready: whether the replying entry is ready
    """

    revision: int
    ready: bool
