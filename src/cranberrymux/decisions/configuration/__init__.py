"""The operators' configuration: document, change history and policy."""
