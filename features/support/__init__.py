"""Deployments of real processes, background load and its accounting."""
