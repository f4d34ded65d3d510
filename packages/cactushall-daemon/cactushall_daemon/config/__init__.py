"""Loading and validation of the daemons' settings files."""
