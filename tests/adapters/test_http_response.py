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
FIELDS = b"Content-Length: 2\r\n\r\nok"
WRONG_STATUS_LINES = {
    status_line: status_line + b"\r\n" + FIELDS
    for status_line in (
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 099 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 2_00 OK",
        b"HTTP/1.1 -200 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        "HTTP/1.1 \u0662\u0660\u0660 OK".encode(),
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200 OK",
        b"HTTP/1.1 200OK",
        b"HTTP/1.1 200 O\x00K",
        b"HTTP/1.1 200 O\rK",
        b" HTTP/1.1 200 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/+1.1 200 OK",
        b"HTTP/1.1",
        b"",
    )
}
# A head with a line feed alone may end in another place for another reader.
WRONG_STATUS_LINES[b"LF"] = b"HTTP/1.1 200 OK\n" + FIELDS
WRONG_FIELD_NAMES = {
    name: b"HTTP/1.1 200 OK\r\n" + SIGNED + name + b": 1\r\n" + FIELDS
    for name in (
        b"X Part",
        b"X-Part ",
        b" X-Part",
        b"\tX-Part",
        b"X-\x00Part",
        b"X-\x7fPart",
        b"X-\x1bPart",
        b"X-\x0bPart",
        b"X-\rPart",
        b"X-\xa0Part",
        b"Content-Length ",
        b"Transfer-Encoding\x00",
        b"",
    )
}
HEAD_END = b"\r\n\r\n"
WRONG_INTERIM_HEADS = {
    name: content[: content.index(HEAD_END) + len(HEAD_END)].replace(b" 200 ", b" 103 ")
    + RESPONSES["length"]
    for name, content in WRONG_FIELD_NAMES.items()
}
WRONG_TRAILERS = {
    name: RESPONSES["chunks"][:-2] + name + b": 1\r\n\r\n" for name in WRONG_FIELD_NAMES
}
WRONG_HEADS = (WRONG_STATUS_LINES, WRONG_FIELD_NAMES, WRONG_INTERIM_HEADS)
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


class TestWrongHeads(unittest.TestCase):
    """A head is read strictly, since its meaning would be uncertain otherwise."""

    def test_wrong_head_is_read_as_a_response(self):
        """Guards against responses that the upstream has not given.

        Status lines such as ``HTTP/1.1 +200 OK`` were read as 200.
        """
        for heads in (*WRONG_HEADS, WRONG_TRAILERS):
            for name, content in heads.items():
                for close_delimited in (True, False):
                    with (
                        self.subTest(name, content=content),
                        self.assertRaises(http.client.HTTPException),
                    ):
                        read(content, close_delimited=close_delimited)

    def test_status_lines_that_are_correct(self):
        for line in (
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 200",
            b"HTTP/1.1 200 ",
            b"HTTP/1.0 200 \xe9",
        ):
            self.assertEqual(read(line + b"\r\n" + FIELDS).status, 200)
