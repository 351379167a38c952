"""A small deployment of real processes on one instance, and its story."""
