"""The store of record: admitted messages, their attempts and their final statuses, for the back office."""
