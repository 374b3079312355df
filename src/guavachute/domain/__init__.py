"""What the entry process decides about, in the project's own words."""
