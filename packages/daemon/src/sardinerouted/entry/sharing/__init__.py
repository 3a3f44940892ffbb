"""Which task goes next: shares, urgency, limits and refusals."""
