"""The entry and sidecar processes that run on a hosting platform."""
