"""HTTP/1.1 server for clients: each request submits one message, or asks for the relay's readiness."""
