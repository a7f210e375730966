"""Runs the command line with ``python -m monsoonline``."""

from monsoonline.commands import main

main()
