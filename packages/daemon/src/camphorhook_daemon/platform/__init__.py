"""Translates between the daemon's types and the platform's interfaces."""
