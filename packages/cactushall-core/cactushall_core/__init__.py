"""Decisions of the cactushall load balancer, free of sockets, clocks and threads."""
