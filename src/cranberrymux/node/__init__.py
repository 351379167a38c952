"""The node: a proxy beside each backend server, for calls in and out."""
