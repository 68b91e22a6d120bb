"""What ``parsley-load`` runs: scenarios, open-loop arrivals, measurement and reports."""
