"""Authenticated pycapnp encoding of the messages between entries."""

import dataclasses
import enum
import hmac
import math
import pathlib
import threading
from collections import OrderedDict

import capnp

from monsoonline.core.gossip import MAX_DATAGRAM_BYTES, GossipMessage, MessageKind
from monsoonline.core.membership import Condition, MemberRecord
from monsoonline.errors import PeerMessageRejected
from monsoonline.ports import SharedItem

__all__ = [
    "Envelope",
    "Exchange",
    "ExchangeKind",
    "PeerCodec",
    "ReplayWindow",
]

MESSAGE_VERSION = 1
# Lowest version that this program still understands.
OLDEST_VERSION = 1
# RFC 2104 allows truncation to half of the hash; each byte counts in a datagram.
CODE_BYTES = 16
MAX_EXCHANGE_BYTES = 1024 * 1024
# A body is read as words of 8 bytes; this bounds the work of a hostile message that
# refers to the same content many times.
TRAVERSAL_LIMIT_WORDS = 4 * MAX_EXCHANGE_BYTES // 8
REPLAY_WINDOW = 64
MAX_REPLAY_SENDERS = 4096
MAX_TEXT_BYTES = 128
DATAGRAM_CONTEXT = b"datagram"
# What reading hostile bytes raises; unknown enumerants are attribute or key errors.
READ_ERRORS = (
    capnp.KjException,
    ValueError,
    KeyError,
    AttributeError,
    MemoryError,
)

capnp.remove_import_hook()
SCHEMA_FILE = pathlib.Path(__file__).with_name("peer_messages.capnp")
schema = capnp.load(str(SCHEMA_FILE))


class ExchangeKind(enum.Enum):
    """Kinds of messages on a peer connection."""

    GREETING = "greeting"
    REQUEST = "request"
    REPLY = "reply"
    FAILURE = "failure"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """One message of a peer connection.

    :param kind: greeting, request, reply or failure
    :param nonce: random bytes of a greeting
    :param name: sender's name in a greeting, request kind in a request
    :param number: request number
    :param payload: content
    :param error: code of a failure
    """

    kind: ExchangeKind
    nonce: bytes = b""
    name: str = ""
    number: int = 0
    payload: bytes = b""
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """An authenticated message before its body is read.

    :param sender: incarnation
    :param sequence: sequence number
    :param body: serialized body
    """

    sender: str
    sequence: int
    body: bytes


class ReplayWindow:
    """Remembers the sequence numbers of each sender. Not safe under threads."""

    def __init__(self):
        self._senders = OrderedDict()

    def accept(self, envelope):
        """Record a message.

        :raises PeerMessageRejected: ``replayed`` when it was seen before, ``old``
            when it is too old to tell
        """
        highest, seen = self._senders.get(envelope.sender, (-1, 0))
        ahead = envelope.sequence - highest
        if ahead > 0:
            seen = ((seen << min(ahead, REPLAY_WINDOW)) | 1) & (2**REPLAY_WINDOW - 1)
            highest = envelope.sequence
        elif -ahead >= REPLAY_WINDOW:
            raise PeerMessageRejected(
                f"sequence number {envelope.sequence} is too old", code="old"
            )
        elif seen >> -ahead & 1:
            raise PeerMessageRejected(
                f"sequence number {envelope.sequence} was seen", code="replayed"
            )
        else:
            seen |= 1 << -ahead
        self._senders[envelope.sender] = (highest, seen)
        self._senders.move_to_end(envelope.sender)
        if len(self._senders) > MAX_REPLAY_SENDERS:
            self._senders.popitem(last=False)


class PeerCodec:
    """Encodes and authenticates messages.

    :param keys: mapping from key id to secret bytes, one or two
    :param signing_key: id of the key that signs
    :param incarnation: incarnation of this entry
    """

    def __init__(self, *, keys, signing_key, incarnation):
        if signing_key not in keys:
            raise ValueError(
                f"signing_key {signing_key!r} is not one of the keys {sorted(keys)}"
            )
        self._keys = dict(keys)
        self._signing_key = signing_key
        self._incarnation = int(incarnation, 16)
        self._sequence = 0
        self._lock = threading.Lock()

    def seal(self, body, *, context=DATAGRAM_CONTEXT):
        """Wrap a serialized body into a signed envelope.

        :param body: serialized body
        :param context: bytes that both sides know, covered by the signature
        :returns: packed bytes
        """
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        envelope = schema.Envelope.new_message(
            version=MESSAGE_VERSION,
            keyId=self._signing_key,
            sender=self._incarnation,
            sequence=sequence,
            body=body,
        )
        envelope.code = self._code(self._signing_key, envelope, context)
        return envelope.to_bytes_packed()

    def open(self, content, *, context=DATAGRAM_CONTEXT, limit=MAX_DATAGRAM_BYTES):
        """Check an envelope.

        :param content: received bytes
        :param context: the bytes given to :meth:`seal`
        :param limit: size limit in bytes
        :returns: :class:`Envelope`
        :raises PeerMessageRejected: with the cause as code: ``oversized``,
            ``malformed``, ``wrong-version``, ``wrong-key`` or ``bad-signature``
        """
        if len(content) > limit:
            raise PeerMessageRejected(
                f"{len(content)} bytes exceed {limit}", code="oversized"
            )
        try:
            envelope = schema.Envelope.from_bytes_packed(
                content, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            )
            return self._check(envelope, context)
        except READ_ERRORS as error:
            raise PeerMessageRejected(str(error)[:100], code="malformed") from None

    def _check(self, envelope, context):
        if envelope.version < OLDEST_VERSION:
            raise PeerMessageRejected(
                f"version {envelope.version} is below {OLDEST_VERSION}",
                code="wrong-version",
            )
        if envelope.keyId not in self._keys:
            raise PeerMessageRejected(
                f"key id {envelope.keyId} is not in use", code="wrong-key"
            )
        expected = self._code(envelope.keyId, envelope, context)
        if not hmac.compare_digest(expected, bytes(envelope.code)):
            raise PeerMessageRejected(
                "the signature does not match", code="bad-signature"
            )
        return Envelope(
            sender=f"{envelope.sender:016x}",
            sequence=envelope.sequence,
            body=bytes(envelope.body),
        )

    def _code(self, key_id, envelope, context):
        header = b"%d %d %d %d %d " % (
            envelope.version,
            key_id,
            envelope.sender,
            envelope.sequence,
            len(context),
        )
        content = header + context + bytes(envelope.body)
        return hmac.digest(self._keys[key_id], content, "sha256")[:CODE_BYTES]

    def encode_gossip(self, message):
        """Return the datagram of a :class:`GossipMessage`."""
        body = schema.Gossip.new_message(
            kind=message.kind.value,
            wantsProfiles=message.wants_profiles,
            probe=message.probe,
        )
        if message.subject:
            body.subject = int(message.subject, 16)
        if message.cursor:
            body.cursor = int(message.cursor, 16)
        if message.checksum:
            body.checksum = message.checksum
        if message.target:
            body.target = message.target
        write_record(body.sender, message.sender)
        if message.members:
            members = body.init("members", len(message.members))
            for builder, record in zip(members, message.members, strict=True):
                write_record(builder, record)
        if message.items:
            items = body.init("items", len(message.items))
            for builder, item in zip(items, message.items, strict=True):
                write_item(builder, item)
        return self.seal(body.to_bytes())

    def encode_records(self, records):
        """Return member records as the payload of a peer request."""
        body = schema.Gossip.new_message()
        members = body.init("members", len(records))
        for builder, record in zip(members, records, strict=True):
            write_record(builder, record)
        return body.to_bytes_packed()

    def decode_records(self, payload):
        """Return the member records of a payload.

        :raises PeerMessageRejected: ``malformed``
        """
        try:
            body = schema.Gossip.from_bytes_packed(
                payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            )
            return tuple(read_record(member) for member in body.members)
        except READ_ERRORS as error:
            raise PeerMessageRejected(str(error)[:100], code="malformed") from None

    def decode_gossip(self, envelope):
        """Return the :class:`GossipMessage` of an opened envelope.

        :raises PeerMessageRejected: ``malformed``
        """
        return decoded(schema.Gossip, envelope.body, read_gossip, envelope.sender)

    def encode_exchange(self, exchange, *, context):
        """Return the packed bytes of an :class:`Exchange`."""
        body = schema.Exchange.new_message(
            kind=exchange.kind.value,
            nonce=exchange.nonce,
            name=exchange.name,
            number=exchange.number,
            payload=exchange.payload,
            error=exchange.error,
        )
        return self.seal(body.to_bytes(), context=context)

    def decode_exchange(self, envelope):
        """Return the :class:`Exchange` of an opened envelope.

        :raises PeerMessageRejected: ``malformed``
        """
        return decoded(schema.Exchange, envelope.body, read_exchange, envelope.sender)


def decoded(struct, body, read, sender):
    """Read a serialized struct, turning every fault into a rejection."""
    try:
        with struct.from_bytes(
            body, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return read(reader, sender)
    except READ_ERRORS as error:
        raise PeerMessageRejected(str(error)[:100], code="malformed") from None


def write_record(builder, record):
    """Fill a MemberRecord builder; empty texts stay null."""
    builder.incarnation = int(record.incarnation, 16)
    builder.revision = record.revision
    builder.generation = record.generation
    builder.condition = record.condition.name.lower()
    builder.ready = record.ready
    builder.leaving = record.leaving
    if record.name:
        builder.name = record.name
        builder.address = record.address
        builder.peerAddress = record.peer_address
        builder.failureDomain = record.failure_domain
        builder.region = record.region


def read_record(reader):
    """Return the MemberRecord of a reader.

    :raises ValueError: when a text is too long
    """
    texts = {
        "name": reader.name,
        "address": reader.address,
        "peer_address": reader.peerAddress,
        "failure_domain": reader.failureDomain,
        "region": reader.region,
    }
    for name, text in texts.items():
        if len(text) > MAX_TEXT_BYTES:
            raise ValueError(f"{name} has {len(text)} characters")
    return MemberRecord(
        incarnation=f"{reader.incarnation:016x}",
        generation=reader.generation,
        condition=Condition[str(reader.condition).upper()],
        ready=reader.ready,
        leaving=reader.leaving,
        revision=reader.revision,
        **texts,
    )


def write_item(builder, item):
    """Fill a SharedItem builder."""
    builder.version = item.version
    builder.owner = int(item.owner, 16)
    builder.ageMs = item.age_ms
    builder.kind = item.kind
    builder.key = item.key
    builder.payload = item.payload


def read_item(reader):
    """Return the SharedItem of a reader.

    :raises ValueError: when its age is not a number of ms
    """
    age_ms = reader.ageMs
    if not math.isfinite(age_ms) or age_ms < 0:
        raise ValueError(f"age {age_ms!r}")
    return SharedItem(
        kind=reader.kind,
        key=reader.key,
        owner=f"{reader.owner:016x}",
        version=reader.version,
        age_ms=age_ms,
        payload=bytes(reader.payload),
    )


def read_gossip(reader, sender):
    """Return the GossipMessage of a reader.

    :raises ValueError: when the sender's record is not the envelope's sender
    """
    record = read_record(reader.sender)
    if record.incarnation != sender or record.condition != Condition.ALIVE:
        raise ValueError("the sender's record is not the sender's")
    subject, cursor = reader.subject, reader.cursor
    return GossipMessage(
        kind=MessageKind(str(reader.kind)),
        probe=reader.probe,
        sender=record,
        checksum=reader.checksum,
        wants_profiles=reader.wantsProfiles,
        cursor=f"{cursor:016x}" if cursor else "",
        target=reader.target,
        subject=f"{subject:016x}" if subject else "",
        members=tuple(read_record(member) for member in reader.members),
        items=tuple(read_item(item) for item in reader.items),
    )


def read_exchange(reader, sender):
    """Return the Exchange of a reader."""
    return Exchange(
        kind=ExchangeKind(str(reader.kind)),
        nonce=bytes(reader.nonce),
        name=reader.name,
        number=reader.number,
        payload=bytes(reader.payload),
        error=reader.error,
    )
