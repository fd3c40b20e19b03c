"""Stand-ins for the external systems that camphorhook connects to."""
