"""Membership: leased endpoints and nodes, and deltas by revision."""
