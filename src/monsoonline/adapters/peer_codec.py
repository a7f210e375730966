"""Encoding of messages between entries with pycapnp and HMAC signatures."""

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
# Messages of older versions are rejected.
OLDEST_SUPPORTED_VERSION = 1
# Half of a SHA-256 digest, the shortest truncation that RFC 2104 recommends, since
# space in a datagram is limited.
SIGNATURE_BYTES = 16
MAX_EXCHANGE_BYTES = 1024 * 1024
# Cap'n Proto counts the 8-byte words that a reader traverses. The limit bounds the
# work caused by a malicious message that refers to the same content many times.
TRAVERSAL_LIMIT_WORDS = 4 * MAX_EXCHANGE_BYTES // 8
REPLAY_WINDOW_SIZE = 64
MAX_REPLAY_SENDERS = 4096
MAX_STRING_LENGTH = 128
DATAGRAM_CONTEXT = b"datagram"
# Exceptions raised while reading untrusted bytes. Unknown enumerants raise
# AttributeError or KeyError.
DECODE_ERRORS = (
    capnp.KjException,
    ValueError,
    KeyError,
    AttributeError,
    MemoryError,
)

capnp.remove_import_hook()
SCHEMA_FILE = pathlib.Path(__file__).with_name("peer_messages.capnp")
SCHEMA = capnp.load(str(SCHEMA_FILE))


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
    :param name: sender's name in a greeting, kind of request in a request
    :param number: number of the request, repeated in its reply or failure
    :param payload: content of a request or reply
    :param error: error code of a failure
    """

    kind: ExchangeKind
    nonce: bytes = b""
    name: str = ""
    number: int = 0
    payload: bytes = b""
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """An authenticated message whose body is not decoded yet.

    :param sender: incarnation of the sender
    :param sequence: sequence number, increasing for each sender
    :param body: serialized body
    """

    sender: str
    sequence: int
    body: bytes


class ReplayWindow:
    """Detects replayed messages by the recent sequence numbers of each sender.

    Instances are not thread-safe.
    """

    def __init__(self):
        self._senders = OrderedDict()

    def accept(self, envelope):
        """Record the sequence number of a message.

        :param envelope: :class:`Envelope` of the message
        :raises PeerMessageRejected: with the code ``replayed`` when the number was
            received before, ``old`` when it is below the window
        """
        highest, received_mask = self._senders.get(envelope.sender, (-1, 0))
        offset = envelope.sequence - highest
        if offset > 0:
            received_mask = ((received_mask << min(offset, REPLAY_WINDOW_SIZE)) | 1) & (
                2**REPLAY_WINDOW_SIZE - 1
            )
            highest = envelope.sequence
        elif -offset >= REPLAY_WINDOW_SIZE:
            raise PeerMessageRejected(
                f"sequence number {envelope.sequence} is too far below {highest}, "
                "the highest received",
                code="old",
            )
        elif received_mask >> -offset & 1:
            raise PeerMessageRejected(
                f"sequence number {envelope.sequence} was already received",
                code="replayed",
            )
        else:
            received_mask |= 1 << -offset
        self._senders[envelope.sender] = (highest, received_mask)
        self._senders.move_to_end(envelope.sender)
        if len(self._senders) > MAX_REPLAY_SENDERS:
            self._senders.popitem(last=False)


class PeerCodec:
    """Encodes, signs and verifies messages.

    :param keys: mapping from key id to secret bytes; two keys during key rotation
    :param signing_key: id of the key that signs outgoing messages
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
        :param context: bytes known to both sides that the signature covers in addition
        :returns: packed bytes of the envelope
        """
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        envelope = SCHEMA.Envelope.new_message(
            version=MESSAGE_VERSION,
            keyId=self._signing_key,
            sender=self._incarnation,
            sequence=sequence,
            body=body,
        )
        envelope.code = self._signature(self._signing_key, envelope, context)
        return envelope.to_bytes_packed()

    def open(self, content, *, context=DATAGRAM_CONTEXT, limit=MAX_DATAGRAM_BYTES):
        """Verify a received envelope.

        :param content: packed bytes of the envelope
        :param context: context that the sender gave to :meth:`seal`
        :param limit: maximum size in bytes
        :returns: :class:`Envelope`
        :raises PeerMessageRejected: with one of these codes: ``oversized``,
            ``malformed``, ``wrong-version``, ``wrong-key`` or ``bad-signature``
        """
        if len(content) > limit:
            raise PeerMessageRejected(
                f"message of {len(content)} bytes exceeds {limit} bytes",
                code="oversized",
            )
        try:
            envelope = SCHEMA.Envelope.from_bytes_packed(
                content, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            )
            return self._verify(envelope, context)
        except DECODE_ERRORS as error:
            raise PeerMessageRejected(str(error)[:100], code="malformed") from None

    def _verify(self, envelope, context):
        if envelope.version < OLDEST_SUPPORTED_VERSION:
            raise PeerMessageRejected(
                f"message version {envelope.version} is older than "
                f"{OLDEST_SUPPORTED_VERSION}",
                code="wrong-version",
            )
        if envelope.keyId not in self._keys:
            raise PeerMessageRejected(
                f"key id {envelope.keyId} is not one of {sorted(self._keys)}",
                code="wrong-key",
            )
        expected = self._signature(envelope.keyId, envelope, context)
        if not hmac.compare_digest(expected, bytes(envelope.code)):
            raise PeerMessageRejected(
                f"signature does not match key id {envelope.keyId}",
                code="bad-signature",
            )
        return Envelope(
            sender=f"{envelope.sender:016x}",
            sequence=envelope.sequence,
            body=bytes(envelope.body),
        )

    def _signature(self, key_id, envelope, context):
        header = b"%d %d %d %d %d " % (
            envelope.version,
            key_id,
            envelope.sender,
            envelope.sequence,
            len(context),
        )
        content = header + context + bytes(envelope.body)
        return hmac.digest(self._keys[key_id], content, "sha256")[:SIGNATURE_BYTES]

    def encode_gossip(self, message):
        """Return a :class:`GossipMessage` as a signed datagram."""
        body = SCHEMA.Gossip.new_message(
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
        body = SCHEMA.Gossip.new_message()
        members = body.init("members", len(records))
        for builder, record in zip(members, records, strict=True):
            write_record(builder, record)
        return body.to_bytes_packed()

    def decode_records(self, payload):
        """Return the member records that a payload encodes.

        :raises PeerMessageRejected: with the code ``malformed``
        """
        try:
            body = SCHEMA.Gossip.from_bytes_packed(
                payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            )
            return tuple(read_record(member) for member in body.members)
        except DECODE_ERRORS as error:
            raise PeerMessageRejected(str(error)[:100], code="malformed") from None

    def decode_gossip(self, envelope):
        """Return the :class:`GossipMessage` in a verified envelope.

        :raises PeerMessageRejected: with the code ``malformed``
        """
        return decode_body(SCHEMA.Gossip, envelope.body, read_gossip, envelope.sender)

    def encode_exchange(self, exchange, *, context):
        """Return an :class:`Exchange` as the packed bytes of a signed envelope."""
        body = SCHEMA.Exchange.new_message(
            kind=exchange.kind.value,
            nonce=exchange.nonce,
            name=exchange.name,
            number=exchange.number,
            payload=exchange.payload,
            error=exchange.error,
        )
        return self.seal(body.to_bytes(), context=context)

    def decode_exchange(self, envelope):
        """Return the :class:`Exchange` in a verified envelope.

        :raises PeerMessageRejected: with the code ``malformed``
        """
        return decode_body(
            SCHEMA.Exchange, envelope.body, read_exchange, envelope.sender
        )


def decode_body(struct, body, read, sender):
    """Decode a serialized struct.

    :param struct: Cap'n Proto struct type
    :param body: serialized struct
    :param read: function that converts the reader and the sender to a message
    :param sender: incarnation of the sender
    :raises PeerMessageRejected: with the code ``malformed`` for any decoding error
    """
    try:
        with struct.from_bytes(
            body, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return read(reader, sender)
    except DECODE_ERRORS as error:
        raise PeerMessageRejected(str(error)[:100], code="malformed") from None


def write_record(builder, record):
    """Fill a MemberRecord builder; without a name, all strings stay null."""
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

    :raises ValueError: when a string is longer than ``MAX_STRING_LENGTH``
    """
    strings = {
        "name": reader.name,
        "address": reader.address,
        "peer_address": reader.peerAddress,
        "failure_domain": reader.failureDomain,
        "region": reader.region,
    }
    for name, string in strings.items():
        if len(string) > MAX_STRING_LENGTH:
            raise ValueError(
                f"{name} has {len(string)} characters, maximum {MAX_STRING_LENGTH}"
            )
    return MemberRecord(
        incarnation=f"{reader.incarnation:016x}",
        generation=reader.generation,
        condition=Condition[str(reader.condition).upper()],
        ready=reader.ready,
        leaving=reader.leaving,
        revision=reader.revision,
        **strings,
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

    :raises ValueError: when the age is negative or not finite
    """
    age_ms = reader.ageMs
    if not math.isfinite(age_ms) or age_ms < 0:
        raise ValueError(f"age is {age_ms!r} ms, expected a finite number >= 0")
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

    :raises ValueError: when the sender's record has another incarnation than the
        envelope, or is not alive
    """
    record = read_record(reader.sender)
    if record.incarnation != sender or record.condition != Condition.ALIVE:
        raise ValueError(
            f"sender record is {record.incarnation} ({record.condition.name}), "
            f"expected {sender} (ALIVE)"
        )
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
