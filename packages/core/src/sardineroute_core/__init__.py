"""What the processes of sardineroute share."""
