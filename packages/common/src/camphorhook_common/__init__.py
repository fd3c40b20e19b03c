"""Types, messages, settings and logs shared by the camphorhook programs."""
