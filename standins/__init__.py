"""Stand-ins for the platform, upstreams, callers and the network, used by tests."""
