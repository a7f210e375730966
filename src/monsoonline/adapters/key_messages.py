"""Messages about at-most-once keys, encoded by pycapnp (``keys.capnp``)."""

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

# Half of the 1 MiB that a peer message may have, which leaves room for the framing
# and for the padding of texts to whole words.
PART_BYTES = 512 << 10
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
    """A peer message that cannot be decoded."""

    default_code = "message-invalid"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyQuery:
    """Question to the owner of a key, or to a holder of its records.

    :param key: the key that a caller presented
    :param fingerprint: digest of the caller's request
    """

    key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverPart:
    """One part of a stopped incarnation's records.

    :param export: :class:`LedgerExport` with this part of the records
    :param transfer: random number of the handover
    :param index: number of the part, from 0
    :param count: number of parts
    """

    export: LedgerExport
    transfer: int
    index: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverNotice:
    """Where a stopped incarnation's records are.

    :param incarnation: whose records
    :param holders: incarnations of the entries that have them
    """

    incarnation: str
    holders: tuple[str, ...]


def _decode(struct, payload, convert):
    try:
        with struct.from_bytes(payload) as message:
            return convert(message)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MessageInvalid(f"{struct.schema.node.displayName}: {error}") from error


def _answer_fields(answer):
    return {
        "status": answer.status,
        "reason": answer.reason,
        "headers": [{"name": n, "value": v} for n, v in answer.headers],
        "body": answer.body,
    }


def _answer_of(message):
    return Answer(
        status=message.status,
        reason=message.reason,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=bytes(message.body),
    )


def _refusal_fields(refusal):
    retry_after_ms = refusal.retry_after_ms
    return {
        "code": refusal.code,
        "message": refusal.message,
        "status": refusal.status,
        "retryAfterMs": -1.0 if retry_after_ms is None else retry_after_ms,
    }


def _refusal_of(message):
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

    :raises MessageInvalid: for other bytes
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
        message.answer = _answer_fields(status.answer)
    if status.refusal is not None:
        message.refusal = _refusal_fields(status.refusal)
    return message.to_bytes()


def decode_reply(payload):
    """Decode a :class:`monsoonline.core.ledger.KeyStatus`.

    :raises MessageInvalid: for other bytes
    """

    def convert(message):
        state = _STATES[str(message.state)]
        if state is KeyState.REFUSED:
            return KeyStatus(state=state, refusal=_refusal_of(message.refusal))
        if state is not KeyState.FINISHED:
            return KeyStatus(state=state)
        return KeyStatus(state=state, answer=_answer_of(message.answer))

    return _decode(_SCHEMA.KeyReply, payload, convert)


def split_export(export):
    """Cut an export into parts that fit into one peer message each.

    :param export: the complete :class:`LedgerExport`
    :returns: tuple of :class:`HandoverPart`, at least one
    """
    groups = [{"finished": {}, "refused": {}, "running": {}}]
    size = 0
    for kind, key, record, record_size in _sized_records(export):
        if size + record_size > PART_BYTES:
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
    """Yield field of the export, key, record and size of each of its records."""
    for key, record in export.finished.items():
        yield "finished", key, record, RECORD_OVERHEAD_BYTES + answer_size(record[1])
    for key, record in export.refused.items():
        # The message is the only part whose length varies much.
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
                "answer": _answer_fields(answer),
            }
            for key, (fingerprint, answer) in part.export.finished.items()
        ],
        refused=[
            {
                "key": key,
                "fingerprint": fingerprint,
                "refusal": _refusal_fields(refusal),
            }
            for key, (fingerprint, refusal) in part.export.refused.items()
        ],
        running=list(part.export.running),
    )
    return message.to_bytes()


def decode_part(payload):
    """Decode a :class:`HandoverPart`.

    :raises MessageInvalid: for other bytes
    """

    def convert(message):
        finished = {
            record.key: (record.fingerprint, _answer_of(record.answer))
            for record in message.finished
        }
        export = LedgerExport(
            incarnation=message.incarnation,
            window=message.window,
            finished=finished,
            refused={
                record.key: (record.fingerprint, _refusal_of(record.refusal))
                for record in message.refused
            },
            running=tuple(message.running),
        )
        if message.index >= message.count:
            raise ValueError(f"part {message.index} of {message.count}")
        return HandoverPart(
            export=export,
            transfer=message.transfer,
            index=message.index,
            count=message.count,
        )

    return _decode(_SCHEMA.HandoverPart, payload, convert)


def encode_part_reply(accepted):
    """Encode whether a part was kept."""
    return _SCHEMA.HandoverReply.new_message(accepted=accepted).to_bytes()


def decode_part_reply(payload):
    """Decode whether a part was kept.

    :raises MessageInvalid: for other bytes
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

    :raises MessageInvalid: for other bytes
    """
    return _decode(
        _SCHEMA.HandoverNotice,
        payload,
        lambda m: HandoverNotice(incarnation=m.incarnation, holders=tuple(m.holders)),
    )
