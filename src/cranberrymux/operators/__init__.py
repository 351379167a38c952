"""What an operator's session takes and answers."""
