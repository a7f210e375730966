"""Soak of real entry processes: seeded faults, and checks of every response."""
