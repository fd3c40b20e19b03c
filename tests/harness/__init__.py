"""Starts fleets of real processes for tests and demonstrations."""
