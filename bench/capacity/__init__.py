"""Slopes of memory, bytes and processor time."""
