"""Data model and decision logic; may import ports, but no adapters."""
