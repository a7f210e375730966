"""Tests of logging that must not block requests."""

import io
import json
import logging
import os
import threading
import time
import unittest

from monsoonline.logs import MAX_QUEUED_RECORDS, configure_logging


class LogTest(unittest.TestCase):
    """Base class that restores the package's logger after each test."""

    def configure(self, stream):
        logger = logging.getLogger("monsoonline")
        previous = logger.handlers[:], logger.level, logger.propagate

        def restore():
            logger.handlers[:], logger.propagate = previous[0], previous[2]
            logger.setLevel(previous[1])

        self.addCleanup(restore)
        handler = configure_logging("INFO", stream=stream, entry="e1")
        self.addCleanup(handler.close)
        return handler


class TestBoundedHandler(LogTest):
    """A separate thread writes records from a bounded queue."""

    def test_line_contains_the_entry_and_extra_fields(self):
        stream = io.StringIO()
        handler = self.configure(stream)
        logging.getLogger("monsoonline.x").info("chosen", extra={"upstream": "u1"})
        handler.close()
        document = json.loads(stream.getvalue())
        self.assertEqual((document["entry"], document["upstream"]), ("e1", "u1"))

    def test_record_that_cannot_be_formatted_ends_the_writer(self):
        stream = io.StringIO()
        handler = self.configure(stream)
        logger = logging.getLogger("monsoonline.x")
        logger.info("%d entries", "three")
        logger.info("next")
        handler.close()
        messages = [json.loads(s)["message"] for s in stream.getvalue().splitlines()]
        self.assertEqual(messages, ["line not written", "next"])

    def test_queued_records_are_written_on_close(self):
        """Guards against losing the line that reports a stop when the process ends."""
        stream = io.StringIO()
        handler = self.configure(stream)
        for number in range(50):
            logging.getLogger("monsoonline.x").info("line %d", number)
        handler.close()
        self.assertEqual(len(stream.getvalue().splitlines()), 50)

    def test_unread_output_does_not_block_logging(self):
        """Guards against a full pipe that blocks the request that logs."""
        reading, writing = os.pipe()
        stream = os.fdopen(writing, "w")
        self.configure(stream)
        logger = logging.getLogger("monsoonline.x")
        started = time.monotonic()
        for _ in range(2 * MAX_QUEUED_RECORDS):
            logger.info("x" * 200)
        self.assertLess(time.monotonic() - started, 2.0)
        lines = []
        reader = threading.Thread(target=self.drain, args=(reading, lines))
        reader.start()
        time.sleep(0.5)
        logger.info("after")
        time.sleep(0.5)
        stream.close()
        reader.join(5.0)
        dropped = [d for d in lines if d["message"] == "log lines dropped"]
        self.assertTrue(dropped)
        written = len(lines) - len(dropped)
        counted = sum(document["lines"] for document in dropped)
        self.assertEqual(written + counted, 2 * MAX_QUEUED_RECORDS + 1)

    @staticmethod
    def drain(descriptor, lines):
        with os.fdopen(descriptor) as stream:
            lines.extend(json.loads(line) for line in stream)
