"""Controllers that keep shared state true over time."""
