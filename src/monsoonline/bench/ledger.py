"""Cost of the at-most-once records: ``python -m monsoonline.bench.ledger``.

Prints one JSON line with the microseconds per begin and finish, and the bytes per
record without and with a typical answer, as measured by ``tracemalloc``.
"""

import time
import tracemalloc

import orjson

from monsoonline.clock import SystemClock
from monsoonline.core.ledger import Ledger, LedgerLimits
from monsoonline.types import Answer

__all__ = ["bytes_per_answered_record", "measure"]

RECORDS = 50_000
ROUNDS = 5
BODY_BYTES = 128


def fill(ledger, keys, make_answer):
    """Begin and finish every key; return the microseconds per pair."""
    started = time.perf_counter()
    for key, fingerprint in keys:
        ledger.begin(key, fingerprint, deadline=0.0)
        ledger.finish(key, make_answer())
    return (time.perf_counter() - started) / len(keys) * 1e6


def new_ledger(records=RECORDS):
    """Return an empty ledger and the keys and fingerprints to fill it."""
    ledger = Ledger(
        clock=SystemClock(),
        limits=LedgerLimits(records=records, total_answer_bytes=1 << 30),
    )
    token = ledger.token()
    return ledger, [(f"{token}.{n:016x}", f"{n:032x}") for n in range(records)]


def bytes_per_record(make_answer, records=RECORDS):
    """Return the memory of one record, its key and its answer."""
    tracemalloc.start()
    ledger, keys = new_ledger(records)
    fill(ledger, keys, make_answer)
    del keys
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / ledger.record_count


def bytes_per_answered_record(records=RECORDS):
    """Return the memory of one record with a typical answer."""
    return bytes_per_record(
        lambda: Answer(
            status=200,
            headers=(("Content-Type", "application/json"),),
            body=bytes(BODY_BYTES),
        ),
        records,
    )


def measure():
    """Measure and return the figures by name."""
    shared = Answer(status=200)
    times = sorted(fill(*new_ledger(), lambda: shared) for _ in range(ROUNDS))
    return {
        "records": RECORDS,
        "begin_finish_us_minimum": round(times[0], 2),
        "begin_finish_us_median": round(times[ROUNDS // 2], 2),
        "bytes_per_record": round(bytes_per_record(lambda: shared)),
        f"bytes_per_record_answer_{BODY_BYTES}": round(bytes_per_answered_record()),
    }


if __name__ == "__main__":
    print(orjson.dumps(measure()).decode())
