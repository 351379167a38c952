"""Settings of a router."""

from typing import NamedTuple


class RouterSettings(NamedTuple):
    """Where the router stands and how it weighs endpoints.

    A cost is a share of an endpoint's capacity in use: 1.0 is full.

    Attributes:
        region: Region of the instance.
        zone: Availability zone of the instance.
        spill_cost: Cost of the best endpoint of the own availability zone
            above which others are looked at.
        zone_margin: Cost that another availability zone must save.
        region_margin: Cost that another region must save.
        slow_start_s: Time until a cold endpoint has its whole share.
        slow_start_share: Share at which it begins.
        return_ramp_s: The same time for an endpoint back from ejection.
        ejection_failures: Failures in a row that eject an endpoint.
        repeated_ejection_failures: The same for one that was ejected before.
        ejection_siblings_rate: Failure rate of its siblings from which
            failures in a row, as they then come by chance, eject none.
        ejection_rate_margin: Failure rate above that of its siblings that
            ejects an endpoint.
        ejection_samples: Answers needed before the rate counts.
        ejection_s: Length of a first ejection; doubles each time.
        ejection_maximum_s: Longest ejection.
        ejection_memory_s: Time without failure after which the length falls
            by one step.
        ejected_share: Highest share of a service's endpoints ejected; one
            of two or more may always be.
        level_hold_s: Time for which a level told by an endpoint stands.
        level_reopen_per_s: Priorities by which it then rises, per second.
        level_forget_s: Time after which it is forgotten.
        probe_share: Share of the calls above every level that go out anyway.
        hint_age_s: Time after which a load told by an endpoint counts nothing.
        health_reopen_per_s: Rise of a learned capacity share without news.
        draining_word_s: Time for which an endpoint's own word that it is
            leaving stands without news from the directory.
        retry_after_minimum_ms: Earliest time to come back after overload.
        retry_after_maximum_ms: Latest time; spread evenly between the two.
        no_place_retry_after_ms: Time to come back when no place matches.
        tombstone_s: Time for which a gone endpoint's record is kept.
    """

    region: str = ""
    zone: str = ""
    spill_cost: float = 1.0
    zone_margin: float = 0.1
    region_margin: float = 0.5
    slow_start_s: float = 5.0
    slow_start_share: float = 0.1
    return_ramp_s: float = 1.0
    ejection_failures: int = 5
    repeated_ejection_failures: int = 2
    ejection_siblings_rate: float = 0.1
    ejection_rate_margin: float = 0.3
    ejection_samples: int = 20
    ejection_s: float = 1.0
    ejection_maximum_s: float = 30.0
    ejection_memory_s: float = 10.0
    ejected_share: float = 0.34
    level_hold_s: float = 0.25
    level_reopen_per_s: float = 512.0
    level_forget_s: float = 3.0
    probe_share: float = 0.01
    hint_age_s: float = 1.0
    health_reopen_per_s: float = 0.2
    draining_word_s: float = 30.0
    retry_after_minimum_ms: int = 500
    retry_after_maximum_ms: int = 2500
    no_place_retry_after_ms: int = 5000
    tombstone_s: float = 600.0
