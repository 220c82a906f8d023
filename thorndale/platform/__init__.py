"""The operators' platform: callers' binary messages, the central servers' plain SIP, the control feed, the
configuration, and the core that joins them to the module. No I/O, clock or chance."""
