"""Domain logic: placement, admission, claims, membership and the log."""
