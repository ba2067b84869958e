"""A load tool that replays one seeded trace against several policies."""
