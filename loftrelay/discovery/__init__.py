"""The platform's discovery: the endpoint list, subscriptions at registries, and final-status reports."""
