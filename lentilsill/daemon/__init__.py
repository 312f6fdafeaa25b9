"""The daemon `lentilsilld`: shared state, controllers and servers.

A process of the daemon is a node. It is the entry node of its callers' calls, and the
destination node of the calls that run on its upstreams.
"""
