"""Encodes the messages of :mod:`monsoonline.core.fleet_messages`.

Compact JSON, compressed where that makes it smaller. The library that the project
uses for messages between entries elsewhere would add a tenth to the memory of an
entry whose memory is dear.
"""

import base64
import json
import zlib

from monsoonline.core import fleet_messages as messages
from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import FleetMember, MemberAge
from monsoonline.core.registrations import Registration, RegistrationDelta
from monsoonline.types import LoadReport

__all__ = ["decode_datagram", "decode_state", "encode_datagram", "encode_state"]

COMPRESSED = b"z"
PLAIN = b"j"
MIN_COMPRESSED_BYTES = 200
MAX_DECODED_BYTES = 16 << 20

READY = 1
LEAVING = 2
COLD = 2


def pack_member(member):
    """Return a member as a list."""
    flags = READY * member.ready | LEAVING * member.leaving
    return [
        member.name,
        member.failure_domain,
        member.callers_address,
        member.peer_address,
        flags,
    ]


def unpack_member(fields):
    """Return the :class:`FleetMember` of a list."""
    name, failure_domain, callers_address, peer_address, flags = fields
    return FleetMember(
        name=str(name),
        failure_domain=str(failure_domain),
        callers_address=str(callers_address),
        peer_address=str(peer_address),
        ready=bool(flags & READY),
        leaving=bool(flags & LEAVING),
    )


def pack_ages(ages):
    """Return members with ages as lists."""
    return [[round(item.age_ms), *pack_member(item.member)] for item in ages]


def unpack_ages(rows):
    """Return the :class:`MemberAge` items of lists."""
    return tuple(
        MemberAge(age_ms=float(row[0]), member=unpack_member(row[1:])) for row in rows
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
        int(registration.leaving) | COLD * registration.cold,
    ]


def unpack_registration(fields):
    """Return the :class:`Registration` of a list."""
    instance, pool, address, failure_domain, slots, born_ms, flags = fields
    return Registration(
        instance=str(instance),
        pool=str(pool),
        address=str(address),
        failure_domain=str(failure_domain),
        slots=int(slots),
        born_ms=int(born_ms),
        leaving=bool(flags & 1),
        cold=bool(flags & COLD),
    )


def pack(message):
    """Return a datagram's content as JSON values."""
    if isinstance(message, messages.Heartbeat):
        return [
            "beat",
            pack_member(message.sender),
            pack_ages(message.members),
            message.read_age_ms,
            message.tables_revision,
            message.registrations_revision,
            message.registrations_digest,
        ]
    if isinstance(message, messages.ReadNotice):
        delta = message.delta
        return [
            "read",
            pack_member(message.sender),
            message.read_age_ms,
            message.tables_revision,
            delta.revision,
            delta.base,
            delta.digest,
            [pack_registration(r) for r in delta.changed],
            list(delta.removed),
        ]
    if isinstance(message, messages.FailureNotice):
        failures = [[item.instance, item.weight] for item in message.failures]
        sender = pack_member(message.sender)
        crashes = [report.encode().decode() for report in message.crashes]
        return ["failures", sender, failures, crashes]
    if isinstance(message, messages.LoadNotice):
        loads = [
            [
                item.instance,
                item.report.in_flight,
                item.report.queued,
                item.report.slots,
                item.report.pace,
            ]
            for item in message.loads
        ]
        return ["loads", message.sender, message.chosen, loads]
    raise TypeError(f"{message!r} is no message between entries")


def unpack_beat(sender, members, read_age_ms, tables, registrations, digest):
    """Return a :class:`Heartbeat`."""
    return messages.Heartbeat(
        sender=unpack_member(sender),
        members=unpack_ages(members),
        read_age_ms=None if read_age_ms is None else float(read_age_ms),
        tables_revision=int(tables),
        registrations_revision=int(registrations),
        registrations_digest=str(digest),
    )


def unpack_read(sender, read_age_ms, tables, revision, base, digest, changed, removed):
    """Return a :class:`ReadNotice`."""
    return messages.ReadNotice(
        sender=unpack_member(sender),
        read_age_ms=float(read_age_ms),
        tables_revision=int(tables),
        delta=RegistrationDelta(
            revision=int(revision),
            base=str(base),
            digest=str(digest),
            changed=tuple(unpack_registration(row) for row in changed),
            removed=tuple(map(str, removed)),
        ),
    )


def unpack_failures(sender, failures, crashes):
    """Return a :class:`FailureNotice`."""
    return messages.FailureNotice(
        sender=unpack_member(sender),
        failures=tuple(
            messages.UpstreamFailure(instance=str(instance), weight=float(weight))
            for instance, weight in failures
        ),
        crashes=tuple(CrashReport.decode(payload) for payload in crashes),
    )


def unpack_loads(sender, chosen, loads):
    """Return a :class:`LoadNotice`."""
    return messages.LoadNotice(
        sender=str(sender),
        chosen=str(chosen),
        loads=tuple(
            messages.UpstreamLoad(
                instance=str(instance),
                report=LoadReport(
                    in_flight=int(in_flight),
                    queued=int(queued),
                    slots=max(1, int(slots)),
                    pace=float(pace),
                ),
            )
            for instance, in_flight, queued, slots, pace in loads
        ),
    )


UNPACKERS = {
    "beat": unpack_beat,
    "read": unpack_read,
    "failures": unpack_failures,
    "loads": unpack_loads,
}


def compress(document):
    """Return JSON values as bytes, compressed where that is shorter."""
    content = json.dumps(document, separators=(",", ":")).encode()
    if len(content) < MIN_COMPRESSED_BYTES:
        return PLAIN + content
    return COMPRESSED + zlib.compress(content)


def decompress(content):
    """Return the JSON values in some bytes.

    :raises ValueError: when the bytes are damaged or too large
    """
    kind, body = content[:1], content[1:]
    if kind == COMPRESSED:
        inflater = zlib.decompressobj()
        try:
            body = inflater.decompress(body, MAX_DECODED_BYTES)
        except zlib.error as error:
            raise ValueError(f"damaged message: {error}") from error
    elif kind != PLAIN:
        raise ValueError(f"message kind {kind!r}, expected {PLAIN!r} or {COMPRESSED!r}")
    return json.loads(body)


def encode_datagram(message):
    """Return the bytes of a message."""
    return compress(pack(message))


def decode_datagram(content):
    """Return the message in a datagram.

    :raises ValueError: when the bytes are no message
    """
    document = decompress(content)
    try:
        return UNPACKERS[document[0]](*document[1:])
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise ValueError(f"not a message between entries: {error!r}") from error


def encode_state(state):
    """Return the bytes of a :class:`SharedStateCopy`."""
    registrations = state.registrations
    return compress(
        [
            state.tables_revision,
            base64.b64encode(state.tables).decode(),
            state.registrations_revision,
            None
            if registrations is None
            else [pack_registration(r) for r in registrations],
            state.read_age_ms,
            pack_ages(state.members),
        ]
    )


def decode_state(content):
    """Return the :class:`SharedStateCopy` in some bytes.

    :raises ValueError: when the bytes are no state
    """
    document = decompress(content)
    try:
        tables_revision, tables, revision, registrations, read_age_ms, members = (
            document
        )
        return messages.SharedStateCopy(
            tables_revision=int(tables_revision),
            tables=base64.b64decode(tables),
            registrations_revision=int(revision),
            registrations=None
            if registrations is None
            else tuple(unpack_registration(row) for row in registrations),
            read_age_ms=None if read_age_ms is None else float(read_age_ms),
            members=unpack_ages(members),
        )
    except (TypeError, ValueError, IndexError) as error:
        raise ValueError(f"not a state of an entry: {error!r}") from error
