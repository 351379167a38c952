"""Thrift messages between processes, and their client and server."""
