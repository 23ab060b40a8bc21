"""The registry: holds discovery's full list and sends each relay the destinations that it serves."""
