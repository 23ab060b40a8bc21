"""Background tasks and callbacks whose failures are seen and contained."""
