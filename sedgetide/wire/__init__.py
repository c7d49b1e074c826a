"""HTTP/1.1 client and server connections without automatic retries."""
