"""The sidecar's side of sized tasks: one worker, its runs and its room."""
