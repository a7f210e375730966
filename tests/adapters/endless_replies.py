"""Replies of faulty upstreams that send until the connection is closed."""

from tests.adapters.scripted_upstream import Reply

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_REPLIES = {
    "status line": Reply(content=b"", endless=b"H" * 4096),
    "header line": Reply(content=HEAD + b"X: ", endless=b"x" * 4096),
    "headers": Reply(content=HEAD, endless=b"X: y\r\n" * 512),
    "interim responses": Reply(
        content=b"", endless=b"HTTP/1.1 103 Early Hints\r\n\r\n"
    ),
    "body until the close": Reply(content=HEAD + b"\r\n", endless=b"x" * 65536),
    "chunks": Reply(content=CHUNKED, endless=b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunks of a byte": Reply(content=CHUNKED, endless=b"1\r\nx\r\n" * 4096),
    "chunk extension": Reply(content=CHUNKED + b"1;", endless=b"x" * 4096),
    "trailers": Reply(content=CHUNKED + b"0\r\n", endless=b"X: y\r\n" * 512),
    "slow head": Reply(content=HEAD + b"X: ", endless=b"x", interval_s=0.001),
    "slow body": Reply(content=HEAD + b"\r\n", endless=b"x", interval_s=0.001),
}
