"""Stand-ins for the systems around cactushall, and sites made of them."""
