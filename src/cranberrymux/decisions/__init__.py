"""Decision logic without I/O, clock reads or global random numbers.

Time enters as an argument, `now_s` (monotonic seconds), and randomness as a
seeded `random.Random`. Results are plain values, so that the programs and the
benchmarks run the same code.
"""
