"""The node program that routes HTTP requests by host and path prefix."""
