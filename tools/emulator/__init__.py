"""Simulates the router fleet under load and injected faults.

Engines, plain services, links and callers are models on a simulated clock.
Upstream selection, retry budgets, notices, retries and relaying run the
product's modules unchanged.
"""
