"""Adapters: HTTP, ZeroMQ, files on disk and metrics."""
