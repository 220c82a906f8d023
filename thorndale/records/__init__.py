"""Call records: one per call that received a final answer, written once, then rated and exported.

frame (bytes of one entry) < record (its content) < segment (bytes of a file) < journal (what to write and when) are
pure, as are frame_replay, recover, tariff, rate, settle and delivery. files, io_worker and store do the input and
output.
"""
