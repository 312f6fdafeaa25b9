"""The daemon `lentilsilld`: blackboard, controllers and servers."""
