"""Plays load and trouble on the product's own decisions, in simulated time.

Engines, plain services, links and callers are models; placing, budgets,
notices, retries and relaying are the product's modules, unchanged.
"""
