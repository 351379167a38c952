"""Benchmarks; each prints one JSON line per figure."""
