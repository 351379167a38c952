"""Writes logs, metrics and files of call outcomes."""
