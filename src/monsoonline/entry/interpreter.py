"""Settings of the interpreter for processes that answer within milliseconds."""

import gc

__all__ = ["limit_collection_pauses"]

# Requests leave hardly any cycles, so collections may be rare.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100


def limit_collection_pauses():
    """Exclude what is loaded now from garbage collection and collect rarely.

    A full collection over the imported libraries stops all threads for
    milliseconds. Call once, after the start of the services.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
