"""Interfaces between decisions and the outside."""
