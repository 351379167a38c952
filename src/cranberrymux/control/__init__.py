"""The control program: configuration, claims and membership."""
