"""Ledgers of once-only calls and of requests that crash backend servers."""
