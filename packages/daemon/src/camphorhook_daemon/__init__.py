"""The camphorhook instance daemon: entry points, placement and the log."""
