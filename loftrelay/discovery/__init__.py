"""Clients of the platform's discovery: endpoint list, registry subscriptions and final-status reports."""
