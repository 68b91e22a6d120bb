"""Helpers of the test steps."""
