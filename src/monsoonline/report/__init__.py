"""Reports made from entries' metrics."""
