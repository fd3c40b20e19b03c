"""The command-line client for operators of camphorhook."""
