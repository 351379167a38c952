"""Adapters for the platform: its names, formats and HTTP calls."""
