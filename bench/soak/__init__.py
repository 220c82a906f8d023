"""Short, dense trials of real border proxies under drawn faults, judged by the sockets alone."""
