"""Decision logic of the cactushall load balancer, without sockets or clocks."""
