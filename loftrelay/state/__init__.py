"""Small files beside the journal, in the folder that lasts: each is there whole, or as it was before."""
