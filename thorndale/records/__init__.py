"""Call records: one for each call that got a final answer, written once, rated, exported.

frame (bytes of one entry) < record (what is in it) < segment (bytes of a file) < journal (what to write when) are
pure, and so are fold, recover, tariff, rate, retain and delivery. files and store are the thin shell around them.
"""
