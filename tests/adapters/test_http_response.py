"""Tests of reading upstream responses that end early."""

import http.client
import io
import unittest

from monsoonline.adapters.http_response import ResponseStream, read_framed_response

SIGNED = b"X-Response-Signature: 3e1b.07\r\n"
RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 10\r\n\r\n0123456789",
    "no body": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nok",
}
UNFRAMED = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Connection: close\r\n\r\n"


def read(content, *, close_delimited=True):
    return read_framed_response(
        ResponseStream(io.BytesIO(content)),
        method="GET",
        allow_close_delimited=close_delimited,
    ).response


class TestCutResponses(unittest.TestCase):
    """A response that ends early is an error wherever it ends."""

    def test_response_that_ends_early_is_not_whole(self):
        """Guards against a 200 with a short body for a head that was cut off."""
        for name, content in RESPONSES.items():
            self.assertEqual(read(content).status, 200)
            for end in range(len(content)):
                for close_delimited in (True, False):
                    with (
                        self.subTest(name, cut=content[:end]),
                        self.assertRaises((http.client.HTTPException, ValueError)),
                    ):
                        read(content[:end], close_delimited=close_delimited)

    def test_head_without_a_length_that_ends_early_is_not_whole(self):
        """Guards against a 200 with an empty body for a head that was cut off."""
        self.assertEqual(read(UNFRAMED + b"whole").body, b"whole")
        for end in range(len(UNFRAMED)):
            with (
                self.subTest(cut=UNFRAMED[:end]),
                self.assertRaises((http.client.HTTPException, ValueError)),
            ):
                read(UNFRAMED[:end])
