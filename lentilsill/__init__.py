"""Configuration distribution system for a service mesh.

A node (a process `lentilsilld`) runs beside each upstream, which is an instance of a
service. It forwards the calls of its callers to upstreams, by rules in the service
documents that operators store in the platform. A failure domain is a group of hosts
that can fail together.

The subpackages without I/O (`documents`, `versioning`, `distribution`,
`membership`, `routing`, `admission`, `retries`, `outcomes`, `quarantine`,
`drain`, `status`) form a coordination library that other programs can embed.
`daemon` and `cli` are the two programs built on it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
