"""HTTP/1.1 server for clients: each request submits one message or checks the relay's readiness."""
