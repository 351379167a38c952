"""The operators' configuration: its document, its history and its policy."""
