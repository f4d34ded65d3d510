"""Settings of the daemons: options, schema and loading."""
