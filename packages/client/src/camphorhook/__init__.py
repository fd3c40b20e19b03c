"""The operators' command line of camphorhook."""
