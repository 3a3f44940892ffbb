"""Membership, streams between entries, and configuration distribution."""
