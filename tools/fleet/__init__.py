"""Experiments on a fleet of real entry processes on loopback.

Run them with ``python -m tools.fleet COMMAND`` from the root of the repository.
"""
