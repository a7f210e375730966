"""Tests of the authenticated encoding, with hostile input."""

import pathlib
import tempfile
import unittest

import capnp
import hypothesis
from hypothesis import strategies

from monsoonline.adapters import peer_codec
from monsoonline.adapters.peer_codec import Envelope, PeerCodec, ReplayWindow
from monsoonline.core.gossip import (
    BASE_BYTES,
    GossipMessage,
    MessageKind,
    item_bytes,
    record_bytes,
)
from monsoonline.core.membership import MemberRecord
from monsoonline.errors import PeerMessageRejected
from monsoonline.ports import SharedItem

deterministic = hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
SENDER = "ab" * 8
texts = strategies.text(min_size=1, max_size=30)
numbers = strategies.integers(0, 2**64 - 1)
incarnations = numbers.map(lambda n: f"{n:016x}")
records = strategies.builds(
    MemberRecord,
    incarnation=incarnations,
    generation=strategies.integers(0, 2**32 - 1),
    revision=numbers,
    ready=strategies.booleans(),
    name=texts,
    address=texts,
    peer_address=texts,
    failure_domain=texts,
    region=texts,
)
items = strategies.builds(
    SharedItem,
    kind=strategies.sampled_from(["drain", "probe-share"]),
    key=strategies.text(max_size=64),
    owner=incarnations,
    version=numbers,
    age_ms=strategies.floats(0, 1e6, width=32),
    payload=strategies.binary(max_size=512),
)


def message(**changes):
    """Return a message of the test's sender."""
    sender = MemberRecord(incarnation=SENDER, name="e", address="a", peer_address="p")
    values = {"kind": MessageKind.PROBE, "probe": 7, "sender": sender}
    return GossipMessage(**{**values, **changes})


class TestPeerCodec(unittest.TestCase):
    """Each cause of rejection, key rotation and two message versions."""

    def setUp(self):
        self.codec = self.codec_with({1: b"first-secret-1234"})
        self.datagram = self.codec.encode_gossip(message())

    @staticmethod
    def codec_with(keys, signing_key=1):
        return PeerCodec(keys=keys, signing_key=signing_key, incarnation=SENDER)

    def assert_rejected(self, code, content, codec=None, **options):
        with self.assertRaises(PeerMessageRejected) as caught:
            (codec or self.codec).open(content, **options)
        self.assertEqual(caught.exception.code, code)

    @deterministic
    @hypothesis.given(
        members=strategies.lists(records, max_size=5).map(tuple),
        shared=strategies.lists(items, max_size=3).map(tuple),
    )
    def test_round_trip_within_the_estimated_size(self, members, shared):
        """The core fills datagrams by the estimate, which must not be too low."""
        codec = self.codec_with({1: b"first-secret-1234"})
        sent = message(members=members, items=shared, checksum="0" * 16)
        datagram = codec.encode_gossip(sent)
        envelope = codec.open(datagram, limit=65536)
        self.assertEqual(codec.decode_gossip(envelope), sent)
        estimate = BASE_BYTES + record_bytes(sent.sender)
        estimate += sum(map(record_bytes, members)) + sum(map(item_bytes, shared))
        self.assertLessEqual(len(datagram), estimate)

    @deterministic
    @hypothesis.given(content=strategies.binary(max_size=1300))
    def test_garbage_is_rejected(self, content):
        with self.assertRaises(PeerMessageRejected):
            self.codec.open(content)

    @deterministic
    @hypothesis.given(position=strategies.integers(0), bits=strategies.integers(1, 255))
    def test_changed_byte_is_rejected_or_without_effect(self, position, bits):
        """Only unsigned padding may change without notice."""
        changed = bytearray(self.datagram)
        changed[position % len(changed)] ^= bits
        try:
            envelope = self.codec.open(bytes(changed))
        except PeerMessageRejected:
            return
        self.assertEqual(envelope, self.codec.open(self.datagram))

    @deterministic
    @hypothesis.given(body=strategies.binary(max_size=400))
    def test_signed_garbage_is_rejected(self, body):
        """A faulty peer with a valid key must not raise anything else."""
        envelope = self.codec.open(self.codec.seal(body))
        for decode in (self.codec.decode_gossip, self.codec.decode_exchange):
            try:
                decode(envelope)
            except PeerMessageRejected as error:
                self.assertEqual(error.code, "malformed")

    def test_truncated_is_rejected(self):
        for size in range(len(self.datagram)):
            with self.assertRaises(PeerMessageRejected):
                self.codec.open(self.datagram[:size])

    def test_oversized_is_rejected(self):
        self.assert_rejected("oversized", self.datagram, limit=50)

    def test_wrong_key_is_rejected(self):
        self.assert_rejected(
            "wrong-key", self.datagram, self.codec_with({2: b"x" * 16}, 2)
        )
        self.assert_rejected(
            "bad-signature", self.datagram, self.codec_with({1: b"x" * 16})
        )

    def test_other_context_is_rejected(self):
        """A datagram must not be accepted on a connection."""
        self.assert_rejected("bad-signature", self.datagram, context=b">nonce")

    def test_version_below_the_oldest_is_rejected(self):
        envelope = peer_codec.schema.Envelope.from_bytes_packed(self.datagram)
        old = envelope.as_builder()
        old.version = 0
        self.assert_rejected("wrong-version", old.to_bytes_packed())

    def test_keys_rotate_without_a_gap(self):
        """During rotation both keys are accepted, whichever signs."""
        keys = {1: b"first-secret-1234", 2: b"second-secret-123"}
        both_old, both_new = self.codec_with(keys), self.codec_with(keys, 2)
        both_old.open(both_new.encode_gossip(message()))
        both_new.open(self.datagram)
        self.assert_rejected("wrong-key", both_new.encode_gossip(message()))

    def test_sender_record_of_another_process_is_rejected(self):
        other = MemberRecord(incarnation="cd" * 8)
        envelope = self.codec.open(self.codec.encode_gossip(message(sender=other)))
        with self.assertRaises(PeerMessageRejected):
            self.codec.decode_gossip(envelope)

    def test_versions_interoperate(self):
        """A newer schema adds fields; both sides must read each other."""
        source = peer_codec.SCHEMA_FILE.read_text()
        source = source.replace(
            "cursor @9 :UInt64;", "cursor @9 :UInt64;\n n @10 :Text;"
        )
        source = source.replace("@0xd0c1a6b7f2e39485", "@0xd0c1a6b7f2e39486")
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "newer.capnp")
            path.write_text(source)
            newer = capnp.load(str(path))
        body = newer.Gossip.new_message(kind="probe", probe=7, n="added later")
        peer_codec.write_record(body.sender, message().sender)
        envelope = self.codec.open(self.codec.seal(body.to_bytes()))
        self.assertEqual(self.codec.decode_gossip(envelope), message())
        old = self.codec.open(self.datagram)
        with newer.Gossip.from_bytes(old.body) as reader:
            self.assertEqual((reader.probe, reader.n), (7, ""))


class TestReplayWindow(unittest.TestCase):
    """Replayed and old sequence numbers."""

    def setUp(self):
        self.window = ReplayWindow()

    def accept(self, sequence, sender=SENDER):
        try:
            self.window.accept(Envelope(sender=sender, sequence=sequence, body=b""))
        except PeerMessageRejected as error:
            return error.code
        return "accepted"

    def test_reordered_is_accepted_once(self):
        results = [self.accept(n) for n in (1, 5, 3, 3, 5, 1, 2)]
        expected = ["accepted"] * 3 + ["replayed"] * 3 + ["accepted"]
        self.assertEqual(results, expected)

    def test_too_old_is_rejected_and_senders_are_separate(self):
        self.accept(1000)
        self.assertEqual(self.accept(936), "old")
        self.assertEqual(self.accept(937), "accepted")
        self.assertEqual(self.accept(1, sender="cd" * 8), "accepted")

    def test_far_ahead_forgets_what_was_seen(self):
        self.accept(1)
        self.accept(10**15)
        self.assertEqual(self.accept(10**15 - 1), "accepted")
