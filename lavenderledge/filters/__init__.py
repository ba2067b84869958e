"""The filters that a caller's request passes through, in order."""
