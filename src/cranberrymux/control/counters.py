"""Request counters of one control instance."""

import dataclasses


@dataclasses.dataclass
class Counters:
    """Requests received since the start, whatever became of them.

    Operators see the counters under these names in `/v1/status`.

    Attributes:
        heartbeats: Heartbeats of nodes.
        claims: Claims of nodes, resends included.
        settlements: Settlements of claimed calls, resends included.
        suspects: Reports that a request killed a backend server; reads of the
            number of deaths are not counted.
        quota_requests: Requests of nodes for quota tokens.
        changes: Requests to change the configuration, resends included.
        wrong_keys: Calls refused for a wrong cluster key.
        wrong_tokens: Requests refused for a wrong operator token.
        bad_frames: Frames that could not be decoded, and messages that lack a
            required field.
    """

    heartbeats: int = 0
    claims: int = 0
    settlements: int = 0
    suspects: int = 0
    quota_requests: int = 0
    changes: int = 0
    wrong_keys: int = 0
    wrong_tokens: int = 0
    bad_frames: int = 0
