"""Checked YAML settings, one settings type per program."""
