"""Short, dense soak trials of real border proxies under randomly drawn faults, judged only by socket traffic."""
