"""Pure policy: no sockets, no clock reads, no global random numbers.

Every decision takes `now_s` (monotonic seconds) and, where chance matters, a
seeded `random.Random`. Results are values. Programs and benchmarks drive the
same code.
"""
