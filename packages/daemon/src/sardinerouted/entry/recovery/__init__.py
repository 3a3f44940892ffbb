"""Replication of submissions between entries, and recovery from losses."""
