"""Routing of requests: tables, beliefs about upstreams, choice, attempts."""
