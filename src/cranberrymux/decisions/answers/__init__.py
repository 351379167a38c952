"""Matches answers to calls and classifies what a caller may conclude."""
