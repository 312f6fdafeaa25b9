"""Controllers: each reads and writes the blackboard and does the I/O."""
