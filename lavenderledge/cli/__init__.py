"""The operator's command line: options, parsing and commands."""
