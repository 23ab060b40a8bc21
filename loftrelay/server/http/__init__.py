"""Clients over HTTP/1.1: reads their requests, answers them, and turns away what can't be read."""
