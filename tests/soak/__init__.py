"""Soak test: real programs under faults that are injected from outside."""
