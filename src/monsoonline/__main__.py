"""Command-line entry point for ``python -m monsoonline``."""

from monsoonline.commands import main

main()
