"""Stand-ins for the systems that camphorhook meets."""
