"""The job API of an entry: submit, look up and cancel jobs."""
