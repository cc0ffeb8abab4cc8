"""Soak of the programs that carry connections, under faults from a seed."""
