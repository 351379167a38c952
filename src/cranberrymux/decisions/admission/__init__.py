"""Admission: which calls an endpoint runs now, queues or refuses."""
