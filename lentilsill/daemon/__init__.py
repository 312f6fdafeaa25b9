"""The daemon `lentilsilld`: shared state, controllers and servers."""
