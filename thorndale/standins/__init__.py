"""Stand-ins for everything around a border proxy: central servers, the pool book, callers, scripted days, the auditor.

None of them depends on the internals of the proxy. The auditor imports only `thorndale.sip`.
"""
