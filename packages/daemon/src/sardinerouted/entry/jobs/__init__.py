"""Jobs at their home entry, from their arrival to their kept answer."""
