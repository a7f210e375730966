"""Tests of the encoding of messages between entries."""

import dataclasses
import math
import unittest

from monsoonline.adapters.fleet_codec import (
    compress,
    decode_datagram,
    decode_state,
    decompress,
    encode_datagram,
    encode_state,
    pack_registration,
    pack_tables,
    unpack_registration,
)
from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import MemberAge
from monsoonline.core.fleet_messages import (
    ClockReply,
    ClockRequest,
    FailureNotice,
    Heartbeat,
    LimitAge,
    LoadNotice,
    OwnerCheck,
    PermitReply,
    PermitRequest,
    PermitResult,
    PermitReturn,
    ReadNotice,
    SharedStateCopy,
    UpstreamFailure,
    UpstreamLoad,
)
from monsoonline.core.peer_reads import Reader
from monsoonline.core.registrations import RegistrationDelta
from monsoonline.core.restored_registrations import Removal
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.types import LoadReport
from tests.core.test_fleet import member
from tests.core.test_registrations import registration


class TestDatagrams(unittest.TestCase):
    """Messages are unchanged by a round trip; corrupt ones are rejected."""

    def assert_round_trip(self, message):
        self.assertEqual(decode_datagram(encode_datagram(message)), message)

    def test_heartbeat(self):
        self.assert_round_trip(
            Heartbeat(
                sender=member("a", ready=True),
                members=(MemberAge(member=member("b", leaving=True), age_ms=250.0),),
                tables_revision=7,
                registrations_revision=9,
                registrations_digest="abc",
            )
        )

    def test_heartbeats_are_counted_beside_the_flags(self):
        beating = member("a", ready=True, beat=1 << 40 | 5)
        heartbeat = Heartbeat(
            sender=beating,
            members=(),
            tables_revision=7,
            registrations_revision=9,
            registrations_digest="abc",
        )
        decoded = decode_datagram(encode_datagram(heartbeat))
        self.assertEqual(decoded, heartbeat)
        self.assertEqual(decoded.sender.beat, beating.beat)

    def test_read_notice(self):
        self.assert_round_trip(
            ReadNotice(
                sender=member("a"),
                incarnation=77,
                read_at=5.0,
                tables_revision=3,
                delta=RegistrationDelta(
                    revision=12,
                    base="x",
                    digest="y",
                    changed=(registration("i1", leaving=True, cold=True, born_ms=4),),
                    removed=("i2",),
                ),
            )
        )

    def test_clock_request_and_reply(self):
        request = ClockRequest(incarnation=77, sent_at=5.0)
        reader = Reader(name="a", incarnation=78)
        self.assert_round_trip(request)
        self.assert_round_trip(ClockReply(request=request, reader=reader, time=9.0))

    def test_load_notice(self):
        report = LoadReport(in_flight=1, queued=2, slots=3, pace=7.0)
        load = UpstreamLoad(instance="i1", report=report)
        self.assert_round_trip(LoadNotice(sender="a", loads=(load,), chosen="i1"))

    def test_failure_notice(self):
        crash = CrashReport(fingerprint="f", incidents=["x"])
        notice = FailureNotice(
            sender=member("a"),
            failures=(UpstreamFailure(instance="i1", weight=1.5),),
            crashes=(crash,),
        )
        decoded = decode_datagram(encode_datagram(notice))
        self.assertEqual(decoded.failures, notice.failures)
        self.assertEqual(decoded.crashes[0].incidents, frozenset(["x"]))

    def test_corrupt_messages_are_rejected(self):
        encoded = encode_datagram(LoadNotice(sender="a", loads=(), chosen=""))
        for content in (
            b"",
            b"j{}",
            b"x" + encoded,
            encoded[:-3],
            b'j["beat",1]',
            b"z1",
        ):
            with self.subTest(content=content), self.assertRaises(ValueError):
                decode_datagram(content)


class TestState(unittest.TestCase):
    """A shared state is unchanged by a round trip, with and without registrations."""

    def test_round_trip(self):
        for registrations in (None, tuple(registration(f"i{n}") for n in range(50))):
            state = SharedStateCopy(
                tables_revision=5,
                tables=b'{"routes": []}',
                registrations_revision=9,
                registrations=registrations,
                read_age_ms=None,
                members=(MemberAge(member=member("b"), age_ms=3.0),),
            )
            for compressed in (False, True):
                content = encode_state(state, compress_tables=compressed)
                self.assertEqual(decode_state(content), state)

    def test_removals_are_sent_to_entries_that_ask_for_them(self):
        state = SharedStateCopy(
            tables_revision=StoreRevision.of(era=2, version=5),
            tables=b"",
            registrations_revision=StoreRevision.of(era=3, version=5),
            registrations=None,
            read_age_ms=None,
            members=(),
            removals=(Removal(instance="i1", born_ms=9, era=2),),
            departures=(("i2", 5),),
            serving=True,
        )
        self.assertEqual(decode_state(encode_state(state)), state)

    def test_state_without_removals_is_read_by_earlier_versions(self):
        """Guards against entries that cannot fetch a state during an upgrade."""
        state = SharedStateCopy(
            tables_revision=5,
            tables=b"",
            registrations_revision=9,
            registrations=None,
            read_age_ms=None,
            members=(),
        )
        self.assertEqual(len(decompress(encode_state(state))), 6)

    def test_tables_are_compressed_once_for_all_receivers(self):
        """Guards against versions in force too late: all entries fetch them at once."""
        state = SharedStateCopy(
            tables_revision=5,
            tables=b'{"routes": [%s]}' % (b"{}," * 5_000),
            registrations_revision=9,
            registrations=None,
            read_age_ms=None,
            members=(),
        )
        pack_tables.cache_clear()
        for _ in range(20):
            encode_state(state, compress_tables=True)
        self.assertEqual(pack_tables.cache_info().misses, 1)

    def test_corrupt_state_is_rejected(self):
        for content in (
            b"j[1,2]",
            compress([5, ["zlib", "AAAA"], 9, None, None, []]),
            compress([5, ["other", ""], 9, None, None, []]),
            compress([5, {}, 9, None, None, []]),
            compress([5, "", 9, None, None, [], []]),
            compress([5, "", 9, None, None, [], [["i1", 9]], []]),
            compress([5, "", 9, None, None, [], [["i1", 9, 1 << 40]], []]),
            compress([5, "", 9, None, None, [], [["i1", float("nan"), 1]], []]),
            compress([5, "", 9, None, None, [], [], [["i1", -1]]]),
            compress([5, "", 9, None, None, [], [], ["i1"]]),
        ):
            with self.subTest(content), self.assertRaises(ValueError):
                decode_state(content)


def leaves(document, path=()):
    """Yield the path of each value in nested lists."""
    if isinstance(document, list):
        for index, item in enumerate(document):
            yield from leaves(item, (*path, index))
    else:
        yield path


def replaced(document, path, value):
    """Return a copy of nested lists with one value replaced."""
    if not path:
        return value
    copy = list(document)
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


class TestMalformedMessages(unittest.TestCase):
    """One wrong value must not end a task or stay in an estimate."""

    sender = member("a")
    observed = LimitAge(limit=2.0, sent_age_ms=20.0, received_age_ms=10.0)
    messages = (
        Heartbeat(
            sender=sender,
            members=(MemberAge(member=member("b"), age_ms=250.0),),
            tables_revision=7,
            registrations_revision=9,
            registrations_digest="abc",
        ),
        FailureNotice(
            sender=sender,
            failures=(UpstreamFailure(instance="i1", weight=1.0),),
            crashes=(),
        ),
        LoadNotice(
            sender="a",
            chosen="i1",
            loads=(
                UpstreamLoad(
                    instance="i1",
                    report=LoadReport(in_flight=1, queued=0, slots=3, pace=1.0),
                    limit=4.0,
                ),
            ),
        ),
        ReadNotice(
            sender=sender,
            incarnation=77,
            read_at=5.0,
            tables_revision=7,
            delta=RegistrationDelta(
                revision=9,
                base="abc",
                digest="abd",
                changed=(registration("i1", address="10.0.0.1:80"),),
                removed=("i2",),
            ),
        ),
        ClockRequest(incarnation=77, sent_at=5.0),
        ClockReply(
            request=ClockRequest(incarnation=77, sent_at=5.0),
            reader=Reader(name="a", incarnation=78),
            time=9.0,
        ),
        PermitRequest(number=1, instance="i1", born_ms=5, rank=0, observed=observed),
        PermitReply(
            number=1, result=PermitResult.ISSUED, tokens=1.0, observed=observed
        ),
        PermitReturn(instance="i1", born_ms=5),
        OwnerCheck(sender="a"),
    )

    def decode_variants(self, message):
        """Yield the path, the wrong value and the message decoded with it."""
        document = decompress(encode_datagram(message))
        for path in leaves(document):
            for value in (None, -1, 1e999, float("nan"), "x", [], {}, 10**400, True):
                content = compress(replaced(document, path, value))
                try:
                    yield path, value, decode_datagram(content)
                except ValueError:
                    continue

    def test_wrong_value_is_an_unexpected_error(self):
        for message in self.messages:
            for path, value, decoded in self.decode_variants(message):
                with self.subTest(path=path, value=value):
                    self.assert_numbers_are_valid(dataclasses.asdict(decoded))

    def assert_numbers_are_valid(self, value):
        if isinstance(value, dict):
            value = tuple(value.values())
        if isinstance(value, tuple | list):
            for item in value:
                self.assert_numbers_are_valid(item)
        elif isinstance(value, float):
            self.assertTrue(0 <= value < math.inf, value)

    def test_registration_to_which_nothing_can_be_sent(self):
        """Guards against a neighbour that passes on a row which the store's reader
        would skip."""
        for index, value in (
            (0, "i1\r\nX-Own: 1"),
            (0, 5),
            (1, ""),
            (2, "10.0.0.1:65536"),
            (2, "10.0.0.1:0"),
            (2, "somewhere"),
            (3, "\ud800"),
            (4, 0),
            (4, 1e400),
            (5, 10**400),
            (5, 0.5),
        ):
            fields = list(pack_registration(registration("i1", address="10.0.0.1:80")))
            unpack_registration(fields)
            fields[index] = value
            with self.subTest(index=index, value=value), self.assertRaises(ValueError):
                decode_state(compress([1, "", 1, [fields], None, []]))

    def test_deeply_nested_values_are_an_unexpected_error(self):
        for document in (b"[" * 60_000, b"[]", b"{}", b"3", b"[[1]]", b'["loads"]'):
            with self.subTest(document[:9]), self.assertRaises(ValueError):
                decode_datagram(compress([])[:1] + document)

    def test_address_to_which_nothing_can_be_sent(self):
        for address in ("", "x", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:0", "host:80"):
            with self.subTest(address):
                document = decompress(encode_datagram(self.messages[0]))
                content = compress(replaced(document, (1, 3), address))
                with self.assertRaises(ValueError):
                    decode_datagram(content)
