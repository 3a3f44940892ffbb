"""Admits jobs and decides the order in which queued tasks are sent."""
