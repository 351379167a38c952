"""Logs, metrics and recorded outcomes."""
