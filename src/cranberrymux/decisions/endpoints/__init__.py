"""Which endpoint of a service gets the next request of this node."""
