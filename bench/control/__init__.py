"""Fake nodes and a blocking client for load on control instances."""
