"""Decision logic of the load balancer, without sockets, clocks and threads."""
