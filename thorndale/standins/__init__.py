"""What stands round a border proxy, imitated: setup boxes, the pool book, callers, scripted days, and the auditor.

None of it knows the proxy's inside. The auditor imports `thorndale.sip` alone.
"""
