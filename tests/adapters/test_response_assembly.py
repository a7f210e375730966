"""Tests of assembling responses from bytes that arrive in parts."""

import http.client
import unittest

from monsoonline.adapters.response_assembly import ResponseAssembler
from monsoonline.clock import ManualClock
from monsoonline.core.memory_account import MemoryAccount, Phase
from tests.adapters.endless_replies import ENDLESS_REPLIES
from tests.adapters.test_http_response import (
    RESPONSES,
    UNFRAMED,
    WRONG_HEADS,
    WRONG_TRAILERS,
    read,
)

MAX_BYTES = 256 << 10
TRAILERS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"a;x=y\r\n0123456789\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"
)


class AssemblerCase(unittest.TestCase):
    """An assembler with a memory account of its own."""

    def setUp(self):
        account = MemoryAccount(max_bytes=32 << 20, clock=ManualClock())
        self.assembler = ResponseAssembler(memory=account.open(phase=Phase.UPSTREAM))

    def take(self):
        return self.assembler.take(method="GET", max_bytes=MAX_BYTES)


class TestParts(AssemblerCase):
    """A response is returned once its last byte has arrived, however it is split."""

    def test_response_is_returned_with_its_last_byte(self):
        for name, content in (RESPONSES | {"trailers": TRAILERS}).items():
            for size in (1, 7, len(content) - 1):
                with self.subTest(name, size=size):
                    self.setUp()
                    taken = []
                    for start in range(0, len(content), size):
                        taken.append(self.take())
                        self.assembler.feed(content[start : start + size])
                    self.assertEqual(set(taken), {None})
                    self.assertEqual(self.take().response, read(content))
                    self.assertTrue(self.assembler.empty)

    def test_bytes_after_a_response_belong_to_the_next(self):
        contents = [*RESPONSES.values(), TRAILERS]
        self.assembler.feed(b"".join(contents))
        for content in contents:
            self.assertEqual(self.take().response, read(content))
        self.assertIsNone(self.take())

    def test_response_that_ends_early_is_not_whole(self):
        for name, content in (RESPONSES | {"trailers": TRAILERS}).items():
            for end in range(len(content)):
                with self.subTest(name, cut=content[:end]):
                    self.setUp()
                    self.assembler.feed(content[:end])
                    self.assertIsNone(self.take())
                    self.assembler.feed_end()
                    with self.assertRaises(http.client.HTTPException):
                        self.take()

    def test_response_without_a_length_ends_with_its_connection(self):
        self.assembler.feed(UNFRAMED + b"whole")
        self.assertIsNone(self.take())
        self.assembler.feed_end()
        self.assertEqual(self.take().response.body, b"whole")


class TestWrongHeads(AssemblerCase):
    """A head is judged alike whether it arrives whole or in parts."""

    def test_wrong_head_is_read_as_a_response(self):
        """Guards against responses that the upstream has not given."""
        for heads in (*WRONG_HEADS, WRONG_TRAILERS):
            for name, content in heads.items():
                for size in (1, 7, len(content)):
                    with self.subTest(name, content=content, size=size):
                        self.setUp()
                        with self.assertRaises(http.client.HTTPException):
                            self.take_all(content, size)

    def take_all(self, content, size):
        """Feed a response in parts of a size, then the end; return what is taken."""
        for start in range(0, len(content), size):
            self.assembler.feed(content[start : start + size])
            if (taken := self.take()) is not None:
                return taken
        self.assembler.feed_end()
        return self.take()


class TestInvalidBytes(AssemblerCase):
    """Invalid bytes are refused with the line that shows them."""

    def test_bytes_without_end_are_refused(self):
        """Guards against memory, and waits, for what can never become a response."""
        for name, reply in ENDLESS_REPLIES.items():
            with self.subTest(name):
                self.setUp()
                self.assembler.feed(reply.content)
                fed = 0
                with self.assertRaises(http.client.HTTPException):
                    while fed < 4 * MAX_BYTES:
                        self.assertIsNone(self.take())
                        self.assembler.feed(4096 * reply.endless[:1024])
                        fed += 4096 * len(reply.endless[:1024])
                    self.take()

    def test_invalid_line_is_refused_at_once(self):
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for content in (
            b"no response\r\n",
            b"HTTP/1.1 20 OK\r\n",
            head + b"folded\r\n",
            head + b" X: folded\r\n",
            head + b"X: y\n",
            chunked + b"0x1\r\n",
            chunked + b"-1\r\n",
            head + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
        ):
            with self.subTest(content):
                self.setUp()
                self.assembler.feed(content)
                with self.assertRaises(http.client.HTTPException):
                    self.take()
