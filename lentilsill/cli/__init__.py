"""The command-line tool `lentilsill`."""
