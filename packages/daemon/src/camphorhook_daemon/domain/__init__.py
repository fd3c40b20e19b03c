"""Decisions: placement, admission, claims, membership and the log."""
