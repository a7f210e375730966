"""In-memory test doubles of the platform, its store and upstream servers."""
