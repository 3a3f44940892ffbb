"""Job scheduling at an entry: jobs, task placement and sidecar state."""
