"""Quotas of client accounts, shared by all nodes as tokens that expire."""
