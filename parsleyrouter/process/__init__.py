"""Components whose lifetime is that of a process."""
