"""Ports: the interfaces through which the domain uses adapters."""
