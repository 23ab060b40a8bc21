"""Small files in the state folder, in addition to the journal. Each is replaced atomically."""
