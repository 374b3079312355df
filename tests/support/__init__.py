"""What the tests share."""
