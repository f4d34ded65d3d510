"""Stand-ins for the platform, the backend servers and the clients.

They use the standard library only and keep to the pages of the users.
"""
