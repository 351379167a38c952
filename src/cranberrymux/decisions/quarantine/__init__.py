"""Quarantine of requests that were in flight when a backend server died."""
