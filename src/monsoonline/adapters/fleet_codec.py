"""Encodes the messages of :mod:`monsoonline.core.fleet_messages`.

Messages are compact JSON, compressed with zlib where that makes them smaller.
pycapnp, which encodes the other messages between entries, would increase the memory
use of an entry by a tenth, and memory is limited there.
"""

import base64
import functools
import json
import math
import zlib

from monsoonline.core import fleet_messages as messages
from monsoonline.core.checked_fields import MAX_INTEGER, is_address, is_text
from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import FleetMember, MemberAge
from monsoonline.core.peer_reads import Reader
from monsoonline.core.registrations import (
    MAX_SLOTS,
    Registration,
    RegistrationDelta,
    is_instance,
)
from monsoonline.core.restored_registrations import Removal
from monsoonline.core.store_revisions import MAX_ERA
from monsoonline.core.strict_json import parse_strict_json
from monsoonline.types import LoadReport

__all__ = [
    "TABLES_COMPRESSION",
    "decode_datagram",
    "decode_state",
    "encode_datagram",
    "encode_state",
]

COMPRESSED_PREFIX = b"z"
JSON_PREFIX = b"j"
MIN_COMPRESSED_BYTES = 200
MAX_DECODED_BYTES = 16 << 20
# Name of the compression of tables in a transferred state.
TABLES_COMPRESSION = "zlib"

# Raised by the conversions below for values of another type or out of range.
INVALID_VALUE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
MEMBER_READY_FLAG = 1
MEMBER_LEAVING_FLAG = 2
# The bits above the flags of a member are its beat.
MEMBER_FLAG_BITS = 2
REGISTRATION_COLD_FLAG = 2


def pack_member(member):
    """Return a member as a list."""
    flags = MEMBER_READY_FLAG * member.ready | MEMBER_LEAVING_FLAG * member.leaving
    flags |= member.beat << MEMBER_FLAG_BITS
    return [
        member.name,
        member.failure_domain,
        member.callers_address,
        member.peer_address,
        flags,
    ]


def unpack_address(value):
    """Return a ``host:port`` with an IPv4 address.

    :raises ValueError: when it is none; nothing could be sent to it
    """
    if not is_address(value):
        raise ValueError(f"{value!r}, expected an address such as 10.0.0.1:8080")
    return value


def unpack_text(value):
    """Return a non-empty string that UTF-8 can encode.

    :raises ValueError: when it is none; hashes of it could not be computed
    """
    if not is_text(value):
        raise ValueError(f"{value!r}, expected a non-empty string")
    return value


def unpack_integer(value, *, minimum=0, maximum=MAX_INTEGER):
    """Return an integer within inclusive bounds.

    :raises ValueError: when it is none
    """
    number = int(value)
    if number != value or not minimum <= number <= maximum:
        raise ValueError(f"{value!r}, expected an integer from {minimum} to {maximum}")
    return number


def unpack_number(value):
    """Return a finite number of at least 0 as a float.

    :raises ValueError: when it is none; an estimate that contains it would stay wrong
    """
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value!r}, expected a number of at least 0")
    return number


def unpack_optional(value):
    """Return a finite number of at least 0 as a float, or ``None``."""
    return None if value is None else unpack_number(value)


def unpack_member(fields):
    """Return the :class:`FleetMember` packed in a list."""
    name, failure_domain, callers_address, peer_address, flags = fields
    return FleetMember(
        name=unpack_text(name),
        failure_domain=unpack_text(failure_domain),
        callers_address=unpack_address(callers_address),
        peer_address=unpack_address(peer_address),
        ready=bool(flags & MEMBER_READY_FLAG),
        leaving=bool(flags & MEMBER_LEAVING_FLAG),
        beat=unpack_integer(flags) >> MEMBER_FLAG_BITS,
    )


def pack_ages(ages):
    """Return :class:`MemberAge` items as lists, with ages in whole milliseconds."""
    return [[round(item.age_ms), *pack_member(item.member)] for item in ages]


def unpack_ages(rows):
    """Return the :class:`MemberAge` items packed in lists."""
    return tuple(
        MemberAge(age_ms=unpack_number(row[0]), member=unpack_member(row[1:]))
        for row in rows
    )


def pack_registration(registration):
    """Return a registration as a list."""
    return [
        registration.instance,
        registration.pool,
        registration.address,
        registration.failure_domain,
        registration.slots,
        registration.born_ms,
        int(registration.leaving) | REGISTRATION_COLD_FLAG * registration.cold,
    ]


def unpack_registration(fields):
    """Return the :class:`Registration` packed in a list."""
    instance, pool, address, failure_domain, slots, born_ms, flags = fields
    if not is_instance(instance):
        raise ValueError(f"id {instance!r}, expected visible ASCII characters")
    return Registration(
        instance=instance,
        pool=unpack_text(pool),
        address=unpack_address(address),
        failure_domain=unpack_text(failure_domain),
        slots=unpack_integer(slots, minimum=1, maximum=MAX_SLOTS),
        born_ms=unpack_integer(born_ms),
        leaving=bool(flags & 1),
        cold=bool(flags & REGISTRATION_COLD_FLAG),
    )


def pack_removals(removals):
    """Return :class:`Removal` items as lists."""
    return [[item.instance, item.born_ms, item.era] for item in removals]


def unpack_departures(rows):
    """Return the pairs of id and start time packed in lists."""
    return tuple(
        (unpack_text(instance), unpack_integer(born_ms)) for instance, born_ms in rows
    )


def unpack_removals(rows):
    """Return the :class:`Removal` items packed in lists."""
    return tuple(
        Removal(
            instance=unpack_text(instance),
            born_ms=unpack_integer(born_ms),
            era=unpack_integer(era, maximum=MAX_ERA),
        )
        for instance, born_ms, era in rows
    )


def pack_limit_age(observed):
    """Return a :class:`LimitAge` as a list, with ages in whole milliseconds.

    Rounding makes the response seem to have been sent earlier and received later, so
    it is never taken as newer than it is.
    """
    sent_age_ms = observed.sent_age_ms
    return [
        observed.limit,
        None if sent_age_ms is None else math.ceil(sent_age_ms),
        math.floor(observed.received_age_ms),
    ]


def unpack_limit_age(limit, sent_age_ms, received_age_ms):
    """Return the :class:`LimitAge` packed in these fields."""
    return messages.LimitAge(
        limit=unpack_optional(limit),
        sent_age_ms=unpack_optional(sent_age_ms),
        received_age_ms=unpack_number(received_age_ms),
    )


PACKERS = {}


def packs(kind):
    """Register a function that returns the fields of a kind of message as a list."""

    def register(function):
        PACKERS[kind] = function
        return function

    return register


def pack_message(message):
    """Return a message as a list of JSON values that starts with its kind.

    :raises TypeError: when the object is not a message between entries
    """
    pack = PACKERS.get(type(message))
    if pack is None:
        raise TypeError(f"cannot encode {message!r}: not a message between entries")
    return pack(message)


@packs(messages.Heartbeat)
def pack_heartbeat(message):
    """Return a heartbeat as a list."""
    return [
        "beat",
        pack_member(message.sender),
        pack_ages(message.members),
        # Entries of earlier versions expect the age of a read here.
        None,
        message.tables_revision,
        message.registrations_revision,
        message.registrations_digest,
    ]


@packs(messages.ReadNotice)
def pack_read_notice(message):
    """Return a read notice as a list.

    Its time is rounded down, so that the read never seems newer than it is. Entries of
    earlier versions, which announce reads as ``read``, do not know the eras of the
    store and may announce one whose result they have dropped.
    """
    delta = message.delta
    return [
        "store-read",
        pack_member(message.sender),
        message.incarnation,
        math.floor(message.read_at),
        message.tables_revision,
        delta.revision,
        delta.base,
        delta.digest,
        [pack_registration(item) for item in delta.changed],
        list(delta.removed),
    ]


@packs(messages.FailureNotice)
def pack_failure_notice(message):
    """Return a failure notice as a list."""
    failures = [[item.instance, item.weight] for item in message.failures]
    crashes = [report.encode().decode() for report in message.crashes]
    return ["failures", pack_member(message.sender), failures, crashes]


@packs(messages.LoadNotice)
def pack_load_notice(message):
    """Return a load notice as a list."""
    loads = [
        [
            item.instance,
            item.report.in_flight,
            item.report.queued,
            item.report.slots,
            item.report.pace,
            *(() if item.limit is None else (item.limit,)),
        ]
        for item in message.loads
    ]
    return ["loads", message.sender, message.chosen, loads]


@packs(messages.PermitRequest)
def pack_permit_request(message):
    """Return a request for a permit as a list."""
    return [
        "permit?",
        message.number,
        message.instance,
        message.born_ms,
        message.rank,
        *pack_limit_age(message.observed),
    ]


@packs(messages.PermitReply)
def pack_permit_reply(message):
    """Return the reply to a request for a permit as a list."""
    return [
        "permit",
        message.number,
        int(message.result),
        round(message.tokens, 3),
        *pack_limit_age(message.observed),
    ]


@packs(messages.PermitReturn)
def pack_permit_return(message):
    """Return the return of a permit as a list."""
    return ["return", message.instance, message.born_ms]


@packs(messages.OwnerCheck)
def pack_owner_check(message):
    """Return an owner check as a list."""
    return ["check", message.sender, int(message.response)]


@packs(messages.ClockRequest)
def pack_clock_request(message):
    """Return a request for the time as a list.

    Its time is rounded down, so that the clock of the receiver is never taken to be
    further ahead than the exchange has shown.
    """
    return ["clock?", message.incarnation, math.floor(message.sent_at)]


@packs(messages.ClockReply)
def pack_clock_reply(message):
    """Return the reply to a request for the time as a list."""
    _, *request = pack_clock_request(message.request)
    reader = message.reader
    return ["clock", *request, reader.name, reader.incarnation, math.ceil(message.time)]


def unpack_heartbeat(sender, members, _, tables, registrations, digest):
    """Return the :class:`Heartbeat` packed in these fields."""
    return messages.Heartbeat(
        sender=unpack_member(sender),
        members=unpack_ages(members),
        tables_revision=unpack_integer(tables),
        registrations_revision=unpack_integer(registrations),
        registrations_digest=str(digest),
    )


def unpack_read_notice(
    sender, incarnation, read_at, tables, revision, base, digest, changed, removed
):
    """Return the :class:`ReadNotice` packed in these fields."""
    return messages.ReadNotice(
        sender=unpack_member(sender),
        incarnation=unpack_integer(incarnation),
        read_at=unpack_number(read_at),
        tables_revision=unpack_integer(tables),
        delta=RegistrationDelta(
            revision=unpack_integer(revision),
            base=str(base),
            digest=str(digest),
            changed=tuple(unpack_registration(row) for row in changed),
            removed=tuple(map(str, removed)),
        ),
    )


def unpack_failure_notice(sender, failures, crashes):
    """Return the :class:`FailureNotice` packed in these fields."""
    return messages.FailureNotice(
        sender=unpack_member(sender),
        failures=tuple(
            messages.UpstreamFailure(
                instance=str(instance), weight=unpack_number(weight)
            )
            for instance, weight in failures
        ),
        crashes=tuple(CrashReport.decode(payload) for payload in crashes),
    )


def unpack_load_notice(sender, chosen, loads):
    """Return the :class:`LoadNotice` packed in these fields."""
    return messages.LoadNotice(
        sender=str(sender),
        chosen=str(chosen),
        loads=tuple(
            messages.UpstreamLoad(
                instance=str(instance),
                report=LoadReport(
                    in_flight=max(0, int(in_flight)),
                    queued=max(0, int(queued)),
                    slots=max(1, int(slots)),
                    pace=unpack_number(pace),
                ),
                limit=unpack_number(limit[0]) if limit else None,
            )
            for instance, in_flight, queued, slots, pace, *limit in loads
        ),
    )


def unpack_permit_request(number, instance, born_ms, rank, *observed):
    """Return the :class:`PermitRequest` packed in these fields."""
    return messages.PermitRequest(
        number=int(number),
        instance=str(instance),
        born_ms=int(born_ms),
        rank=max(0, int(rank)),
        observed=unpack_limit_age(*observed),
    )


def unpack_permit_reply(number, result, tokens, *observed):
    """Return the :class:`PermitReply` packed in these fields."""
    return messages.PermitReply(
        number=int(number),
        result=messages.PermitResult(result),
        tokens=unpack_number(tokens),
        observed=unpack_limit_age(*observed),
    )


def unpack_permit_return(instance, born_ms):
    """Return the :class:`PermitReturn` packed in these fields."""
    return messages.PermitReturn(instance=str(instance), born_ms=int(born_ms))


def unpack_clock_request(incarnation, sent_at):
    """Return the :class:`ClockRequest` packed in these fields."""
    return messages.ClockRequest(
        incarnation=unpack_integer(incarnation), sent_at=unpack_number(sent_at)
    )


def unpack_clock_reply(incarnation, sent_at, name, reader_incarnation, time):
    """Return the :class:`ClockReply` packed in these fields."""
    return messages.ClockReply(
        request=unpack_clock_request(incarnation, sent_at),
        reader=Reader(
            name=unpack_text(name), incarnation=unpack_integer(reader_incarnation)
        ),
        time=unpack_number(time),
    )


def unpack_owner_check(sender, response):
    """Return the :class:`OwnerCheck` packed in these fields."""
    return messages.OwnerCheck(sender=str(sender), response=bool(response))


UNPACKERS = {
    "beat": unpack_heartbeat,
    "store-read": unpack_read_notice,
    "failures": unpack_failure_notice,
    "loads": unpack_load_notice,
    "permit?": unpack_permit_request,
    "permit": unpack_permit_reply,
    "return": unpack_permit_return,
    "check": unpack_owner_check,
    "clock?": unpack_clock_request,
    "clock": unpack_clock_reply,
}


def compress(document):
    """Return JSON values as bytes with a prefix that names the encoding.

    Documents below ``MIN_COMPRESSED_BYTES`` are not compressed.
    """
    content = json.dumps(document, separators=(",", ":")).encode()
    if len(content) < MIN_COMPRESSED_BYTES:
        return JSON_PREFIX + content
    return COMPRESSED_PREFIX + zlib.compress(content)


def inflate(content):
    """Return decompressed bytes.

    :raises ValueError: when they are corrupt; larger content is cut off at
        ``MAX_DECODED_BYTES``
    """
    try:
        return zlib.decompressobj().decompress(content, MAX_DECODED_BYTES)
    except zlib.error as error:
        raise ValueError(f"corrupt compressed content: {error}") from error


def decompress(content):
    """Return the JSON values that the bytes encode.

    :raises ValueError: when the bytes are corrupt or decompress to more than
        ``MAX_DECODED_BYTES``
    """
    prefix, body = content[:1], content[1:]
    if prefix == COMPRESSED_PREFIX:
        body = inflate(body)
    elif prefix != JSON_PREFIX:
        raise ValueError(
            f"message prefix {prefix!r}, expected {JSON_PREFIX!r} or "
            f"{COMPRESSED_PREFIX!r}"
        )
    return parse_strict_json(body)


def encode_datagram(message):
    """Return a message as the content of a datagram."""
    return compress(pack_message(message))


def decode_datagram(content):
    """Return the message that a datagram contains.

    :raises ValueError: when the content is not a valid message
    """
    document = decompress(content)
    try:
        return UNPACKERS[document[0]](*document[1:])
    except INVALID_VALUE_ERRORS as error:
        raise ValueError(f"invalid message between entries: {error!r}") from error


@functools.lru_cache(maxsize=1)
def pack_tables(content):
    """Return stored tables as a list, compressed.

    Cached, because all entries fetch new tables from the entry that has read them, at
    the same moment.
    """
    return [TABLES_COMPRESSION, base64.b64encode(zlib.compress(content)).decode()]


def unpack_tables(packed):
    """Return the stored tables that are packed in a list, or plain in a string.

    :raises ValueError: when the compression is unknown, or the tables are too large
    """
    if isinstance(packed, str):
        return base64.b64decode(packed)
    compression, text = packed
    if compression != TABLES_COMPRESSION:
        raise ValueError(f"compression {compression!r}, expected 'zlib'")
    tables = inflate(base64.b64decode(text))
    if len(tables) >= MAX_DECODED_BYTES:
        raise ValueError(f"tables have {MAX_DECODED_BYTES} bytes or more")
    return tables


def encode_state(state, *, compress_tables=False):
    """Return a :class:`SharedStateCopy` as bytes.

    :param state: the copy
    :param compress_tables: whether the receiver reads compressed tables
    """
    registrations = state.registrations
    if compress_tables and state.tables:
        tables = pack_tables(state.tables)
    else:
        tables = base64.b64encode(state.tables).decode()
    return compress(
        [
            state.tables_revision,
            tables,
            state.registrations_revision,
            None
            if registrations is None
            else [pack_registration(item) for item in registrations],
            state.read_age_ms,
            pack_ages(state.members),
            # Entries of earlier versions, which do not ask for them, expect none.
            *(
                [pack_removals(state.removals), list(map(list, state.departures))]
                if state.serving
                else ()
            ),
        ]
    )


def decode_state(content):
    """Return the :class:`SharedStateCopy` that the bytes encode.

    :raises ValueError: when the bytes do not encode a valid state
    """
    document = decompress(content)
    try:
        tables_revision, tables, revision, registrations, *others = document
        read_age_ms, members, *past = others
        removals, departures = past or ((), ())
        return messages.SharedStateCopy(
            tables_revision=unpack_integer(tables_revision),
            tables=unpack_tables(tables),
            registrations_revision=unpack_integer(revision),
            registrations=None
            if registrations is None
            else tuple(unpack_registration(row) for row in registrations),
            read_age_ms=unpack_optional(read_age_ms),
            members=unpack_ages(members),
            removals=unpack_removals(removals),
            departures=unpack_departures(departures),
            serving=bool(past),
        )
    except INVALID_VALUE_ERRORS as error:
        raise ValueError(f"invalid state of an entry: {error!r}") from error
