"""Jobs at their home entry, from submission to the end of retention."""
