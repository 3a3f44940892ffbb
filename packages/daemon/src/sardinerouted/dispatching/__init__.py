"""The entry's side of sized tasks: jobs, placement and the sidecars."""
