"""Routing of calls to endpoints, with load, failures and priorities."""
