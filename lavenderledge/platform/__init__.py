"""The adapter to the platform: its names, formats and HTTP calls.

It contains no policy, and no other package uses the platform's names.
"""
