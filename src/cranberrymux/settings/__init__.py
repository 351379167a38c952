"""Reads and checks YAML settings and command line options."""
