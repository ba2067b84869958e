"""The daemon: settings, start and graceful stop."""
