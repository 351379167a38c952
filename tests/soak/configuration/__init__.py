"""Soak of the configuration: changes, races, reads and the loss of disks."""
