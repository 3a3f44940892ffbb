"""The administration API of an entry: configuration, fleet and drains."""
