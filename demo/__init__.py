"""Demonstration of the whole system, with stand-ins around it."""
