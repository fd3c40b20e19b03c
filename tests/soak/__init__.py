"""A randomized soak of the real programs; see docs/soak.md."""
