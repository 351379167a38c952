"""What an endpoint takes, and which requests may begin while it is short."""
