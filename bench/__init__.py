"""Focused benchmarks; each prints one JSON line per figure."""
