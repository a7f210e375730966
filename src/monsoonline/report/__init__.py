"""Reports from the metrics and log lines of entries."""
