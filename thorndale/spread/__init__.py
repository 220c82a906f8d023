"""How evenly a fleet used its central servers: counts in, figures out; decides nothing. No I/O, clock or chance."""
