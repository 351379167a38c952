"""Processes of the benchmark of the gateway's path."""
