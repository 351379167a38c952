"""Which endpoint a call goes to."""
