"""Label expressions of operators."""
