"""Updates between entry nodes about their state."""
