"""Adapters: HTTP, ZeroMQ, disk and metrics."""
