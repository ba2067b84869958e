"""The routed data path: callers' HTTP requests to the replicas of services."""
