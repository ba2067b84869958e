"""Small stand-ins for outside systems, each a process of its own."""
