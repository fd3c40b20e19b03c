"""Translates between the daemon and the platform that it runs on."""
