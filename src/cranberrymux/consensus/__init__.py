"""Raft replicated log with membership changes and leader leases.

The core does no I/O and reads no clock: callers hand in the time, received
messages and completed writes, and each call returns what is to be done.
"""
