"""Tests of the adapter for the platform of a deployment."""
