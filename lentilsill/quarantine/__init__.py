"""Detection of requests that crash their upstreams."""
