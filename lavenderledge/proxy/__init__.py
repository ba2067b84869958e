"""The data path: forwards callers' HTTP requests to replicas of services."""
