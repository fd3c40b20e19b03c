"""Request routing: tables, upstream health and load, selection, forwarding."""
