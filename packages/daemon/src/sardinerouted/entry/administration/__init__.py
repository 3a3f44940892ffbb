"""What operators reach at an entry: configuration, fleet and drains."""
