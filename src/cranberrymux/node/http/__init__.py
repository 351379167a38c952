"""HTTP/1.1 server and client: Twisted protocols that parse by httptools."""
