"""Domain logic: routing, admission, claims, membership and the log."""
