"""One entry process: composition of the core and the adapters."""
