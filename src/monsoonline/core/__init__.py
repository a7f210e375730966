"""The data model and its operations; knows ports, never adapters."""
