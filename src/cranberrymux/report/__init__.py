"""The report on the burn of service-level error budgets."""
