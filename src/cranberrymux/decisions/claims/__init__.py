"""The ledgers of once-only calls and of requests that crash backends."""
