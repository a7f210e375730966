"""Experiments on a fleet of real entry processes on loopback.

Run with ``python -m tools.fleet COMMAND`` from the root of the repository.
"""
