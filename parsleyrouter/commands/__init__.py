"""Command-line programs of parsleyrouter."""
