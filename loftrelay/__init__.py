"""loftrelay: takes on messages over HTTP and owes each of them its end."""
