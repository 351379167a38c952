"""Admission control: which calls an endpoint starts, queues or refuses."""
