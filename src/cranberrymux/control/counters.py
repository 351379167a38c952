"""Counts of one control instance since its start."""

import dataclasses


@dataclasses.dataclass
class Counters:
    """What was asked of a control instance.

    Attributes:
        heartbeats: Heartbeats of nodes.
        claims: Claims asked for.
        settlements: Ends of claimed calls.
        suspects: Deaths reported.
        changes: Changes of configuration asked for.
        wrong_keys: Calls refused for a wrong cluster key.
        wrong_tokens: Requests refused for a wrong operator token.
        bad_frames: Frames that could not be read.
    """

    heartbeats: int = 0
    claims: int = 0
    settlements: int = 0
    suspects: int = 0
    changes: int = 0
    wrong_keys: int = 0
    wrong_tokens: int = 0
    bad_frames: int = 0
