"""What callers reach at an entry: submit, show and cancel jobs."""
