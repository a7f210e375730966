"""Structured logging: one JSON object per line, written without blocking requests."""

import json
import logging
import queue
import sys
import threading

__all__ = ["BoundedHandler", "JsonFormatter", "configure_logging"]

STANDARD_RECORD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message"}
# Further records are dropped and counted while the output is blocked.
MAX_QUEUED_RECORDS = 2_000
# Records of this interval are written together to save wake-ups and system calls.
BATCH_INTERVAL_S = 0.1
# Time limit for writing the queued records when the handler is closed.
CLOSE_TIMEOUT_S = 0.3


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON, with its ``extra`` fields as members.

    :param entry: entry name to add to each line, ``None`` to omit it
    """

    def __init__(self, *, entry=None):
        super().__init__()
        self._entry = entry

    def format(self, record):
        """Return the record as a JSON object without line breaks."""
        seconds = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        line = {
            "time": f"{seconds}.{int(record.msecs):03d}",
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if self._entry is not None:
            line["entry"] = self._entry
        for name, value in vars(record).items():
            if name not in STANDARD_RECORD_ATTRIBUTES:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class BoundedHandler(logging.Handler):
    """Queues records and writes them in a separate thread.

    A blocked output, such as a full pipe, does not block the threads that log.

    :param stream: text stream
    """

    def __init__(self, *, stream):
        super().__init__()
        self._stream = stream
        self._queue = queue.SimpleQueue()
        self._dropped = 0
        self._closing = threading.Event()
        self._writer_ended = threading.Event()
        threading.Thread(target=self._write_all, name="logs", daemon=True).start()

    def emit(self, record):
        """Queue a record, or drop and count it if the queue is full."""
        if self._queue.qsize() >= MAX_QUEUED_RECORDS:
            self._dropped += 1
            return
        self._queue.put(record)

    def close(self):
        """Write the queued records, waiting at most ``CLOSE_TIMEOUT_S`` seconds."""
        self._closing.set()
        # Wakes the writer if it is waiting for the next record.
        self._queue.put(None)
        self._writer_ended.wait(CLOSE_TIMEOUT_S)
        super().close()

    def _write_all(self):
        while not self._closing.is_set():
            records = [self._queue.get()]
            self._closing.wait(BATCH_INTERVAL_S)
            while not self._queue.empty():
                records.append(self._queue.get())
            self._write([record for record in records if record is not None])
        self._writer_ended.set()

    def _format_safely(self, record):
        """Return the line of a record, of the error if it cannot be formatted."""
        try:
            return self.format(record) + "\n"
        except Exception as error:
            fields = {"name": __name__, "levelname": "ERROR", "msg": "line not written"}
            unformatted = {"logger_name": record.name, "error": repr(error)}
            return self.format(logging.makeLogRecord(fields | unformatted)) + "\n"

    def _write(self, records):
        dropped, self._dropped = self._dropped, 0
        if dropped:
            records.append(
                logging.makeLogRecord(
                    {
                        "name": __name__,
                        "levelno": logging.WARNING,
                        "levelname": "WARNING",
                        "msg": "log lines dropped",
                        "lines": dropped,
                    }
                )
            )
        text = "".join(self._format_safely(record) for record in records)
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # The output is closed and there is no other place to report the error.
            self._dropped += len(records)


def configure_logging(level="INFO", *, stream=None, entry=None):
    """Write the package's logs to a stream as JSON lines.

    :param level: name of the lowest level to write
    :param stream: text stream, standard error by default
    :param entry: entry name to add to each line, ``None`` to omit it
    :returns: the :class:`BoundedHandler`; close it before the process ends
    """
    handler = BoundedHandler(stream=stream or sys.stderr)
    handler.setFormatter(JsonFormatter(entry=entry))
    logger = logging.getLogger("monsoonline")
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
