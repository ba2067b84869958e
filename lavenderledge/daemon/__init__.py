"""The daemon: settings, start-up and graceful stop."""
