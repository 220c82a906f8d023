"""How evenly a fleet used its central servers: takes counts, returns statistics; decides nothing. No I/O, no clock, no
random source."""
