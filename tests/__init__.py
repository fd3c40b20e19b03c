"""Tests, test harness and stand-ins for external systems."""
