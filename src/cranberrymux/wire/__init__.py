"""What the processes say to one another."""
