"""Stand-ins of the second review: store, targets, callers and router."""
