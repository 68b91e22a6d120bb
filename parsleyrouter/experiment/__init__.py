"""Experiments of ``parsley-load``: scenarios, open-loop arrivals, measurements and reports."""
