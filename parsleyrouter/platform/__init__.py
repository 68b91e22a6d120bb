"""Translate between the operators' platform and the types of the product, and nothing else."""
