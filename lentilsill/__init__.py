"""Configuration distribution system for a service mesh.

The subpackages without I/O (`documents`, `versioning`, `distribution`,
`membership`, `routing`, `admission`, `retries`, `outcomes`, `quarantine`,
`drain`, `status`) form a coordination library that other programs can embed.
`daemon` and `cli` are the two programs built on it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
