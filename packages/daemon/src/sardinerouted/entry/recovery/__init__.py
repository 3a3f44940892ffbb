"""What entries know for one another, and a new holder finds out."""
