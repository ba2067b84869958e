"""Clients of the model engines and plain services."""
