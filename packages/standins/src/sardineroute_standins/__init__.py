"""Simulated external systems, load generators and soak tests; not shipped."""
