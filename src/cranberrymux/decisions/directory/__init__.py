"""Membership: endpoints and nodes under leases, and deltas by revision."""
