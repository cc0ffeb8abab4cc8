"""Soak test of connection balancers and agents under seeded random faults."""
