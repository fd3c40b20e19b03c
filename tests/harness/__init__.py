"""Test harness that starts real processes for tests and demonstrations."""
