"""Controllers of a node: they do its I/O and share state on the blackboard."""
