"""What a backend server says of itself to the node beside it."""
