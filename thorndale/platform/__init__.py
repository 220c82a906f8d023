"""Protocols and core of the border proxy on the operators' platform: callers' binary messages, the central servers'
plain SIP, the control feed, the configuration, and the core that connects them to the decision module. The package does
no I/O, reads no clock and draws no random numbers."""
