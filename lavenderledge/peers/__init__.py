"""Typed messages between instances and the links that carry them."""
