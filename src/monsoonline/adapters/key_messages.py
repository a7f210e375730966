"""Messages about idempotency keys, encoded with pycapnp (``keys.capnp``)."""

import dataclasses
import pathlib
import secrets

import capnp

from monsoonline.core.ledger import (
    FinalRefusal,
    KeyState,
    KeyStatus,
    LedgerExport,
    answer_size,
)
from monsoonline.errors import MonsoonlineError
from monsoonline.types import Answer

__all__ = [
    "HandoverNotice",
    "HandoverPart",
    "KeyQuery",
    "MessageInvalid",
    "decode_notice",
    "decode_part",
    "decode_part_reply",
    "decode_query",
    "decode_reply",
    "encode_notice",
    "encode_part",
    "encode_part_reply",
    "encode_query",
    "encode_reply",
    "split_export",
]

# Half of the 1 MiB limit of a peer message. The rest is reserved for framing and for
# the padding of strings to 8-byte words.
MAX_PART_BYTES = 512 << 10
RECORD_OVERHEAD_BYTES = 256

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("keys.capnp")))
_STATE_NAMES = {
    KeyState.FINISHED: "finished",
    KeyState.RUNNING: "running",
    KeyState.NEVER_STARTED: "neverStarted",
    KeyState.EXPIRED: "expired",
    KeyState.MISMATCH: "mismatch",
    KeyState.UNDECIDED: "undecided",
    KeyState.REFUSED: "refused",
}
_STATES = {name: state for state, name in _STATE_NAMES.items()}


class MessageInvalid(MonsoonlineError):
    """A peer message could not be decoded."""

    default_code = "message-invalid"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyQuery:
    """Query for the state of a key, sent to its owner or a holder of its records.

    :param key: idempotency key from the caller's request
    :param fingerprint: digest of the caller's request
    """

    key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverPart:
    """One part of the records that a stopping incarnation hands over.

    :param export: :class:`LedgerExport` with the records of this part
    :param transfer: random 64-bit id of the handover
    :param index: index of the part, from 0
    :param count: number of parts
    """

    export: LedgerExport
    transfer: int
    index: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverNotice:
    """Announcement of which entries hold the records of a stopped incarnation.

    :param incarnation: incarnation that stopped
    :param holders: incarnations of the entries that hold its records
    """

    incarnation: str
    holders: tuple[str, ...]


def _decode(struct, payload, convert):
    try:
        with struct.from_bytes(payload) as message:
            return convert(message)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MessageInvalid(f"{struct.schema.node.displayName}: {error}") from error


def _answer_to_fields(answer):
    return {
        "status": answer.status,
        "reason": answer.reason,
        "headers": [{"name": n, "value": v} for n, v in answer.headers],
        "body": answer.body,
    }


def _read_answer(message):
    return Answer(
        status=message.status,
        reason=message.reason,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=bytes(message.body),
    )


def _refusal_to_fields(refusal):
    retry_after_ms = refusal.retry_after_ms
    return {
        "code": refusal.code,
        "message": refusal.message,
        "status": refusal.status,
        "retryAfterMs": -1.0 if retry_after_ms is None else retry_after_ms,
    }


def _read_refusal(message):
    retry_after_ms = message.retryAfterMs
    return FinalRefusal(
        code=message.code,
        message=message.message,
        status=message.status,
        retry_after_ms=retry_after_ms if retry_after_ms >= 0 else None,
    )


def encode_query(query):
    """Encode a :class:`KeyQuery`."""
    message = _SCHEMA.KeyQuery.new_message(key=query.key, fingerprint=query.fingerprint)
    return message.to_bytes()


def decode_query(payload):
    """Decode a :class:`KeyQuery`.

    :raises MessageInvalid: when the payload cannot be decoded
    """
    return _decode(
        _SCHEMA.KeyQuery,
        payload,
        lambda m: KeyQuery(key=m.key, fingerprint=m.fingerprint),
    )


def encode_reply(status):
    """Encode a :class:`monsoonline.core.ledger.KeyStatus`."""
    message = _SCHEMA.KeyReply.new_message(state=_STATE_NAMES[status.state])
    if status.answer is not None:
        message.answer = _answer_to_fields(status.answer)
    if status.refusal is not None:
        message.refusal = _refusal_to_fields(status.refusal)
    return message.to_bytes()


def decode_reply(payload):
    """Decode a :class:`monsoonline.core.ledger.KeyStatus`.

    :raises MessageInvalid: when the payload cannot be decoded
    """

    def convert(message):
        state = _STATES[str(message.state)]
        if state is KeyState.REFUSED:
            return KeyStatus(state=state, refusal=_read_refusal(message.refusal))
        if state is not KeyState.FINISHED:
            return KeyStatus(state=state)
        return KeyStatus(state=state, answer=_read_answer(message.answer))

    return _decode(_SCHEMA.KeyReply, payload, convert)


def split_export(export):
    """Split an export into parts that each fit into one peer message.

    :param export: the complete :class:`LedgerExport`
    :returns: tuple of :class:`HandoverPart`, at least one
    """
    groups = [{"finished": {}, "refused": {}, "running": {}}]
    size = 0
    for kind, key, record, record_size in _sized_records(export):
        if size + record_size > MAX_PART_BYTES:
            groups.append({"finished": {}, "refused": {}, "running": {}})
            size = 0
        groups[-1][kind][key] = record
        size += record_size
    transfer = secrets.randbits(64)
    return tuple(
        HandoverPart(
            transfer=transfer,
            export=dataclasses.replace(
                export, **(group | {"running": tuple(group["running"])})
            ),
            index=index,
            count=len(groups),
        )
        for index, group in enumerate(groups)
    )


def _sized_records(export):
    """Yield the export field, key, record and estimated bytes of each record."""
    for key, record in export.finished.items():
        yield "finished", key, record, RECORD_OVERHEAD_BYTES + answer_size(record[1])
    for key, record in export.refused.items():
        # Only the length of the message varies much between refusals.
        size = RECORD_OVERHEAD_BYTES + len(record[1].message)
        yield "refused", key, record, size
    for key in export.running:
        yield "running", key, None, RECORD_OVERHEAD_BYTES


def encode_part(part):
    """Encode a :class:`HandoverPart`."""
    message = _SCHEMA.HandoverPart.new_message(
        incarnation=part.export.incarnation,
        window=part.export.window,
        transfer=part.transfer,
        index=part.index,
        count=part.count,
        finished=[
            {
                "key": key,
                "fingerprint": fingerprint,
                "answer": _answer_to_fields(answer),
            }
            for key, (fingerprint, answer) in part.export.finished.items()
        ],
        refused=[
            {
                "key": key,
                "fingerprint": fingerprint,
                "refusal": _refusal_to_fields(refusal),
            }
            for key, (fingerprint, refusal) in part.export.refused.items()
        ],
        running=list(part.export.running),
    )
    return message.to_bytes()


def decode_part(payload):
    """Decode a :class:`HandoverPart`.

    :raises MessageInvalid: when the payload cannot be decoded
    """

    def convert(message):
        finished = {
            record.key: (record.fingerprint, _read_answer(record.answer))
            for record in message.finished
        }
        export = LedgerExport(
            incarnation=message.incarnation,
            window=message.window,
            finished=finished,
            refused={
                record.key: (record.fingerprint, _read_refusal(record.refusal))
                for record in message.refused
            },
            running=tuple(message.running),
        )
        if message.index >= message.count:
            raise ValueError(
                f"part index {message.index} is not below the count {message.count}"
            )
        return HandoverPart(
            export=export,
            transfer=message.transfer,
            index=message.index,
            count=message.count,
        )

    return _decode(_SCHEMA.HandoverPart, payload, convert)


def encode_part_reply(accepted):
    """Encode whether the receiver accepted a part."""
    return _SCHEMA.HandoverReply.new_message(accepted=accepted).to_bytes()


def decode_part_reply(payload):
    """Decode whether the receiver accepted a part.

    :raises MessageInvalid: when the payload cannot be decoded
    """
    return _decode(_SCHEMA.HandoverReply, payload, lambda m: m.accepted)


def encode_notice(notice):
    """Encode a :class:`HandoverNotice`."""
    message = _SCHEMA.HandoverNotice.new_message(
        incarnation=notice.incarnation, holders=list(notice.holders)
    )
    return message.to_bytes()


def decode_notice(payload):
    """Decode a :class:`HandoverNotice`.

    :raises MessageInvalid: when the payload cannot be decoded
    """
    return _decode(
        _SCHEMA.HandoverNotice,
        payload,
        lambda m: HandoverNotice(incarnation=m.incarnation, holders=tuple(m.holders)),
    )
