"""Client accounts: their keys, and for how long a node may accept them."""
