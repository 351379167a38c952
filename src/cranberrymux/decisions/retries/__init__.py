"""Retry decisions and budgets that bound the retries of a whole request."""
