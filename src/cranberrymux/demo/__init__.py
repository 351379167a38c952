"""A small deployment of real processes on loopback, and a demo that uses it."""
