"""Registry: holds discovery's full endpoint list and sends each relay the destinations that it serves."""
