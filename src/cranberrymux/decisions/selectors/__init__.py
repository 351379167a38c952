"""Label selectors: parsing, matching and the labels they are applied to."""
