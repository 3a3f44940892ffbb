"""The sidecar's part in sized tasks: one worker, its runs and its capacity."""
