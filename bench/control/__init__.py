"""Load and fakes for the control instances."""
