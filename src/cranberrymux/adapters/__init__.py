"""How an operator's session reaches the control instances."""
