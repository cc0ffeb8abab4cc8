"""Demonstration of the whole system with a simulated environment."""
