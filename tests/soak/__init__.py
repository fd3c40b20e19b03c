"""Randomized soak test of the programs; see docs/soak.md."""
