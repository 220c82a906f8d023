"""Back-to-back user agent for one call, from the caller's INVITE to the end of the call, without I/O.

The package manages both legs of a call, reports events to the decision module and turns the module's actions into SIP
messages. `border.Border` is the entry point. `settings` arguments have the attributes of
`thorndale.config.settings.Settings`; that package is not imported here.
"""
