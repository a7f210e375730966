"""Tests of the authenticated encoding, with untrusted input."""

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

derandomized = hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
SENDER = "ab" * 8
strings = strategies.text(min_size=1, max_size=30)
numbers = strategies.integers(0, 2**64 - 1)
incarnations = numbers.map(lambda n: f"{n:016x}")
records = strategies.builds(
    MemberRecord,
    incarnation=incarnations,
    generation=strategies.integers(0, 2**32 - 1),
    revision=numbers,
    ready=strategies.booleans(),
    name=strings,
    address=strings,
    peer_address=strings,
    failure_domain=strings,
    region=strings,
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
    """Return a :class:`GossipMessage` sent by ``SENDER``."""
    sender = MemberRecord(incarnation=SENDER, name="e", address="a", peer_address="p")
    values = {"kind": MessageKind.PROBE, "probe": 7, "sender": sender}
    return GossipMessage(**{**values, **changes})


class TestPeerCodec(unittest.TestCase):
    """Causes of rejection, key rotation and compatibility of schema versions."""

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

    @derandomized
    @hypothesis.given(
        members=strategies.lists(records, max_size=5).map(tuple),
        shared=strategies.lists(items, max_size=3).map(tuple),
    )
    def test_round_trip_within_the_estimated_size(self, members, shared):
        """Guards against size estimates below the encoded size.

        The core fills datagrams by the estimate, so a low one would make them exceed
        the size limit.
        """
        codec = self.codec_with({1: b"first-secret-1234"})
        sent = message(members=members, items=shared, checksum="0" * 16)
        datagram = codec.encode_gossip(sent)
        envelope = codec.open(datagram, limit=65536)
        self.assertEqual(codec.decode_gossip(envelope), sent)
        estimate = BASE_BYTES + record_bytes(sent.sender)
        estimate += sum(map(record_bytes, members)) + sum(map(item_bytes, shared))
        self.assertLessEqual(len(datagram), estimate)

    @derandomized
    @hypothesis.given(content=strategies.binary(max_size=1300))
    def test_garbage_is_rejected(self, content):
        with self.assertRaises(PeerMessageRejected):
            self.codec.open(content)

    @derandomized
    @hypothesis.given(position=strategies.integers(0), bits=strategies.integers(1, 255))
    def test_changed_byte_is_rejected_or_without_effect(self, position, bits):
        """Guards against modified content that passes the signature check.

        Only padding outside the signature may change undetected.
        """
        modified = bytearray(self.datagram)
        modified[position % len(modified)] ^= bits
        try:
            envelope = self.codec.open(bytes(modified))
        except PeerMessageRejected:
            return
        self.assertEqual(envelope, self.codec.open(self.datagram))

    @derandomized
    @hypothesis.given(body=strategies.binary(max_size=400))
    def test_signed_garbage_is_rejected(self, body):
        """Guards against other exceptions for garbage from a peer with a valid key."""
        envelope = self.codec.open(self.codec.seal(body))
        for decode in (self.codec.decode_gossip, self.codec.decode_exchange):
            try:
                decode(envelope)
            except PeerMessageRejected as error:
                self.assertEqual(error.code, "malformed")

    def test_truncated_datagram_is_rejected(self):
        for size in range(len(self.datagram)):
            with self.assertRaises(PeerMessageRejected):
                self.codec.open(self.datagram[:size])

    def test_oversized_datagram_is_rejected(self):
        self.assert_rejected("oversized", self.datagram, limit=50)

    def test_wrong_key_is_rejected(self):
        self.assert_rejected(
            "wrong-key", self.datagram, self.codec_with({2: b"x" * 16}, 2)
        )
        self.assert_rejected(
            "bad-signature", self.datagram, self.codec_with({1: b"x" * 16})
        )

    def test_other_context_is_rejected(self):
        """Guards against replaying a datagram on a connection."""
        self.assert_rejected("bad-signature", self.datagram, context=b">nonce")

    def test_version_below_the_oldest_is_rejected(self):
        envelope = peer_codec.SCHEMA.Envelope.from_bytes_packed(self.datagram)
        old_version = envelope.as_builder()
        old_version.version = 0
        self.assert_rejected("wrong-version", old_version.to_bytes_packed())

    def test_both_keys_are_accepted_during_rotation(self):
        """Guards against rejected messages while entries sign with different keys."""
        keys = {1: b"first-secret-1234", 2: b"second-secret-123"}
        old_signer, new_signer = self.codec_with(keys), self.codec_with(keys, 2)
        old_signer.open(new_signer.encode_gossip(message()))
        new_signer.open(self.datagram)
        self.assert_rejected("wrong-key", new_signer.encode_gossip(message()))

    def test_sender_record_of_another_process_is_rejected(self):
        other = MemberRecord(incarnation="cd" * 8)
        envelope = self.codec.open(self.codec.encode_gossip(message(sender=other)))
        with self.assertRaises(PeerMessageRejected):
            self.codec.decode_gossip(envelope)

    def test_schema_versions_are_compatible(self):
        """Guards against entries of two versions that cannot read each other.

        A newer schema adds a field.
        """
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
        old_version = self.codec.open(self.datagram)
        with newer.Gossip.from_bytes(old_version.body) as reader:
            self.assertEqual((reader.probe, reader.n), (7, ""))


class TestReplayWindow(unittest.TestCase):
    """Rejection of replayed and old sequence numbers."""

    def setUp(self):
        self.window = ReplayWindow()

    def accept(self, sequence, sender=SENDER):
        try:
            self.window.accept(Envelope(sender=sender, sequence=sequence, body=b""))
        except PeerMessageRejected as error:
            return error.code
        return "accepted"

    def test_reordered_messages_are_accepted_once(self):
        results = [self.accept(n) for n in (1, 5, 3, 3, 5, 1, 2)]
        expected = ["accepted"] * 3 + ["replayed"] * 3 + ["accepted"]
        self.assertEqual(results, expected)

    def test_too_old_is_rejected_and_senders_are_separate(self):
        self.accept(1000)
        self.assertEqual(self.accept(936), "old")
        self.assertEqual(self.accept(937), "accepted")
        self.assertEqual(self.accept(1, sender="cd" * 8), "accepted")

    def test_large_jump_clears_the_window(self):
        self.accept(1)
        self.accept(10**15)
        self.assertEqual(self.accept(10**15 - 1), "accepted")
