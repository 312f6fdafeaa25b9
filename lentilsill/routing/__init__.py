"""Choice of the route and the upstream of a call."""
