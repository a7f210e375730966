"""Tests of monsoonline.bench."""
