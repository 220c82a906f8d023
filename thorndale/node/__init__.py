"""The border proxy on the operators' platform: listener, connections to central servers, control feed, signals."""
