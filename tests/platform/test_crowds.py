"""Crowds of callers that do not behave, against one entry process.

The entry has less memory, fewer descriptors and smaller bodies than on the platform, so
that a small crowd suffices. No check depends on the speed of the machine.
"""

import http.client
import time
import unittest

from tests.platform.crowds import Crowd, Site, Watch, call

# As much room beside an idle process for one largest body as on the platform.
MEMORY_MB = 75
MAX_BODY_BYTES = 16 << 20
# Leaves room for the lines between the chunks.
LARGE_BODY_BYTES = MAX_BODY_BYTES - (64 << 10)
MAX_HEADER_BYTES = 16 << 10
MAX_DESCRIPTORS = 3075
# Leaves 30 connections, with one descriptor for each side and 200 for other uses.
FEW_DESCRIPTORS = 260
ALL_CONNECTIONS = 46
# Exceeds what the kernel keeps for a connection (4 MiB by default).
ANSWER_BYTES = 6_000_000
# What a slow reader takes at a time, and the time between two reads.
READ_BYTES, READ_INTERVAL_S = 500, 0.2
ORDINARY_BODY_BYTES = 2_000
ATTEMPTS = 40
RETRY_INTERVAL_S = 0.25
RELEASE_TIMEOUT_S = 30.0
# Time between two pieces of an honest upload.
HONEST_INTERVAL_S = 0.1
HONEST_TIMEOUT_S = 30.0
# Requests of ordinary callers: method, size and whether the body is sent in chunks.
ORDINARY_REQUESTS = (
    ("GET", 2, False),
    ("POST", ORDINARY_BODY_BYTES, False),
    ("POST", ORDINARY_BODY_BYTES, True),
)
LARGE_REQUESTS = (
    ("GET", ANSWER_BYTES, False),
    ("POST", LARGE_BODY_BYTES, False),
    ("POST", LARGE_BODY_BYTES, True),
)


class TestCrowds(unittest.TestCase):
    """An entry stays within its machine, and serves others, whatever a crowd does."""

    def start(self, *, max_descriptors=MAX_DESCRIPTORS):
        """Start an entry, its watch and an empty crowd."""
        self._max_descriptors = max_descriptors
        self._site = self.enterContext(
            Site(
                memory_mb=MEMORY_MB,
                max_descriptors=max_descriptors,
                max_body_bytes=MAX_BODY_BYTES,
                max_header_bytes=MAX_HEADER_BYTES,
            )
        )
        self._process_id = self._site.entry.process_id
        self.assert_served("in calm", ORDINARY_REQUESTS + LARGE_REQUESTS)
        self._watch = self.enterContext(Watch(entry=self._site.entry))
        self._crowd = self.enterContext(Crowd(address=self._site.address))
        return self._crowd

    def check(self):
        """Check the entry while the crowd holds its connections, and afterwards."""
        self._watch.wait_quiet(self._crowd)
        with self.subTest("while the crowd holds its connections"):
            self.assert_served("beside the crowd", ORDINARY_REQUESTS)
        self._crowd.close()
        with self.subTest("gauges"):
            self.assert_released()
        with self.subTest("large requests"):
            self.assert_served("after the crowd", LARGE_REQUESTS)
        with self.subTest("resources"):
            self.assert_within_machine()

    def assert_served(self, when, requests):
        """Check that each request is answered with 200 in some attempt."""
        for method, size, chunked in requests:
            results = []
            while len(results) < ATTEMPTS and 200 not in results:
                if results:
                    time.sleep(RETRY_INTERVAL_S)
                results.append(
                    call(self._site.address, method, size=size, chunked=chunked)
                )
            hangs = all(isinstance(result, TimeoutError) for result in results)
            self.assertIn(
                200,
                results,
                f"{method} of {size} bytes {when}{' hangs' if hangs else ''}",
            )

    def assert_honest_served(self, count):
        """Check that so many uploads at a steady rate are served in full."""
        statuses = self._crowd.statuses
        end = time.monotonic() + HONEST_TIMEOUT_S
        while statuses.count(200) < count and time.monotonic() < end:
            time.sleep(RETRY_INTERVAL_S)
        self.assertGreaterEqual(statuses.count(200), count, f"answers: {statuses}")

    def assert_released(self):
        """Check that the entry holds nothing for callers any more."""
        end = time.monotonic() + RELEASE_TIMEOUT_S
        held = None
        while time.monotonic() < end:
            try:
                held = self._site.entry.held_gauges()
            except (OSError, http.client.HTTPException) as error:
                held = {"no answer": error}
            if not any(held.values()):
                return
            time.sleep(RETRY_INTERVAL_S)
        self.fail(f"held after the crowd has gone: {held}")

    def assert_within_machine(self):
        """Check that the process lives and kept within memory and descriptors."""
        entry = self._site.entry
        self.assertTrue(entry.running, "the process has ended")
        self.assertEqual(entry.process_id, self._process_id)
        self.assertLess(self._watch.most_descriptors, self._max_descriptors)
        self.assertLessEqual(entry.peak_bytes(), MEMORY_MB * 1e6)
        # Input that is not yet read counts as memory of the process.
        self.assertLessEqual(self._watch.most_bytes, MEMORY_MB * 1e6)

    def test_whole_uploads_that_stop(self):
        """Guards against uploads with a length that hold memory without end."""
        self.start().add_unfinished_uploads(40, size=3 << 20, chunked=False)
        self.check()

    def test_chunked_uploads_that_stop(self):
        """Guards against uploads in chunks that hold memory without end."""
        self.start().add_unfinished_uploads(40, size=3 << 20, chunked=True)
        self.check()

    def test_medium_whole_uploads_that_stop(self):
        """Guards against many uploads with a length that are small each."""
        self.start().add_unfinished_uploads(200, size=300_000, chunked=False)
        self.check()

    def test_medium_chunked_uploads_that_stop(self):
        """Guards against many uploads in chunks that are small each."""
        self.start().add_unfinished_uploads(200, size=300_000, chunked=True)
        self.check()

    def test_small_and_large_uploads_that_stop(self):
        """Guards against limits that leave out small bodies."""
        crowd = self.start()
        crowd.add_unfinished_uploads(250, size=60_000, chunked=True)
        crowd.add_unfinished_uploads(40, size=3 << 20, chunked=True)
        self.check()

    def test_largest_whole_uploads_that_stop(self):
        """Guards against few uploads with a length near the maximum size."""
        crowd = self.start()
        crowd.add_unfinished_uploads(8, size=LARGE_BODY_BYTES, chunked=False)
        self.check()

    def test_largest_chunked_uploads_that_stop(self):
        """Guards against few uploads in chunks near the maximum size."""
        crowd = self.start()
        crowd.add_unfinished_uploads(8, size=LARGE_BODY_BYTES, chunked=True)
        self.check()

    def test_chunk_lines_that_stop(self):
        """Guards against long lines between chunks, which belong to no body."""
        self.start().add_unfinished_chunk_lines(8, size=LARGE_BODY_BYTES // 2)
        self.check()

    def test_trailers_that_stop(self):
        """Guards against long fields after the last chunk, which belong to no body."""
        self.start().add_unfinished_trailers(8, size=LARGE_BODY_BYTES // 2)
        self.check()

    def test_slow_readers(self):
        """Guards against large answers that wait for callers that read slowly."""
        self.start().add_readers(
            20, size=ANSWER_BYTES, piece_bytes=READ_BYTES, interval_s=READ_INTERVAL_S
        )
        self.check()

    def test_stopped_readers(self):
        """Guards against large answers that wait for callers that do not read."""
        self.start().add_readers(20, size=ANSWER_BYTES)
        self.check()

    def test_pipelining_slow_readers(self):
        """Guards against several large answers that wait on each connection."""
        self.start().add_readers(
            10,
            size=ANSWER_BYTES,
            requests=4,
            piece_bytes=READ_BYTES,
            interval_s=READ_INTERVAL_S,
        )
        self.check()

    def test_medium_slow_readers(self):
        """Guards against many answers that wait and are small each."""
        self.start().add_readers(
            200, size=200_000, piece_bytes=READ_BYTES, interval_s=READ_INTERVAL_S
        )
        self.check()

    def test_uploads_and_slow_readers(self):
        """Guards against limits that hold for each kind of message alone."""
        crowd = self.start()
        crowd.add_unfinished_uploads(6, size=MAX_BODY_BYTES // 2, chunked=True)
        crowd.add_unfinished_uploads(6, size=MAX_BODY_BYTES // 2, chunked=False)
        crowd.add_readers(
            10, size=ANSWER_BYTES, piece_bytes=READ_BYTES, interval_s=READ_INTERVAL_S
        )
        crowd.add_readers(5, size=ANSWER_BYTES, requests=4)
        self.check()

    def test_heads_that_stop_on_all_connections(self):
        """Guards against heads that stop just short of their end and hold all."""
        crowd = self.start(max_descriptors=FEW_DESCRIPTORS)
        crowd.add_unfinished_heads(ALL_CONNECTIONS, size=MAX_HEADER_BYTES - 1)
        self.check()

    def test_silent_connections(self):
        """Guards against connections without a request that leave none for others."""
        crowd = self.start(max_descriptors=FEW_DESCRIPTORS)
        crowd.add_silent(ALL_CONNECTIONS)
        self.check()

    def test_uploads_that_stop_on_all_connections(self):
        """Guards against small uploads that stop and hold all connections."""
        crowd = self.start(max_descriptors=FEW_DESCRIPTORS)
        for chunked in (False, True):
            crowd.add_unfinished_uploads(
                ALL_CONNECTIONS // 2, size=ORDINARY_BODY_BYTES, chunked=chunked
            )
        self.check()

    def test_stopped_readers_on_all_connections(self):
        """Guards against callers that do not read and hold all connections."""
        crowd = self.start(max_descriptors=FEW_DESCRIPTORS)
        crowd.add_readers(ALL_CONNECTIONS, size=ANSWER_BYTES)
        self.check()

    def test_honest_uploads(self):
        """Guards against limits that cut callers that send slowly and steadily."""
        crowd = self.start()
        for chunked in (False, True):
            crowd.add_honest_uploads(
                6, size=1 << 20, chunked=chunked, interval_s=HONEST_INTERVAL_S
            )
        self.assert_honest_served(4)
        self.check()

    def test_honest_uploads_beside_those_that_stop(self):
        """Guards against refusals of those that come for those that stay."""
        crowd = self.start()
        crowd.add_unfinished_uploads(40, size=3 << 20, chunked=False)
        crowd.add_unfinished_uploads(40, size=3 << 20, chunked=True)
        self._watch.wait_quiet(crowd)
        for chunked in (False, True):
            crowd.add_honest_uploads(
                1, size=2 << 20, chunked=chunked, interval_s=HONEST_INTERVAL_S
            )
        self.assert_honest_served(1)
        self.check()

    def test_largest_body(self):
        """Guards against refusals of a body of the maximum size."""
        self.start()
        for chunked in (False, True):
            with self.subTest(chunked=chunked):
                self.assert_served("in calm", [("POST", MAX_BODY_BYTES, chunked)])


if __name__ == "__main__":
    unittest.main()
