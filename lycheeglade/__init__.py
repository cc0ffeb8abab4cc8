"""Layer-4 load balancer that serves each connection in a permitted place."""

__version__ = "0.1.0"
