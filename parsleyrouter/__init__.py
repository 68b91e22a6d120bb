"""Serve online and batch inference on one shared fleet."""
