"""Tests of the encoding of messages between entries."""

import unittest

from monsoonline.adapters.fleet_codec import (
    decode_datagram,
    decode_state,
    encode_datagram,
    encode_state,
)
from monsoonline.core.crashes import CrashReport
from monsoonline.core.fleet import MemberAge
from monsoonline.core.fleet_messages import (
    FailureNotice,
    Heartbeat,
    LoadNotice,
    ReadNotice,
    SharedStateCopy,
    UpstreamFailure,
    UpstreamLoad,
)
from monsoonline.core.registrations import RegistrationDelta
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
                read_age_ms=120.0,
                tables_revision=7,
                registrations_revision=9,
                registrations_digest="abc",
            )
        )

    def test_read_notice(self):
        self.assert_round_trip(
            ReadNotice(
                sender=member("a"),
                read_age_ms=5.0,
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
            self.assertEqual(decode_state(encode_state(state)), state)

    def test_corrupt_state_is_rejected(self):
        with self.assertRaises(ValueError):
            decode_state(b"j[1,2]")
