"""Small files beside the journal, in the state folder. Each is replaced whole, or stays as it was."""
