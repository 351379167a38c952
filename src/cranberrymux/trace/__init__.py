"""Traces one request through the logs of several processes."""
