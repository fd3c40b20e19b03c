"""Tests, stand-ins for outside systems, and the test harness."""
