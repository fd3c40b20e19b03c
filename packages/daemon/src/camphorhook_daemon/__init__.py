"""The daemon of an instance: entry points, placement, replicated log."""
