"""Parameters of routing."""

from typing import NamedTuple


class RouterSettings(NamedTuple):
    """Location of the node and parameters of its choice of endpoints.

    A cost is the share of an endpoint's capacity that is in use: 1.0 is full.
    A level is the highest priority number that an endpoint admits.

    Attributes:
        region: Region of the node.
        zone: Availability zone of the node.
        spill_cost: Cost of the best endpoint of a tier up to which tiers
            further away are not considered.
        zone_margin: Cost by which an endpoint of another availability zone of
            the region must be cheaper.
        region_margin: Cost by which an endpoint of another region must be
            cheaper.
        slow_start_s: Length of the slow start of a new endpoint or
            incarnation.
        slow_start_share: Share of its calls that an endpoint gets at the
            beginning of a slow start, 0 to 1.
        return_slow_start_s: Length of the slow start after an ejection.
        ejection_failures: Number of failures in a row that eject an endpoint.
        repeated_ejection_failures: The same for an endpoint that was ejected
            before.
        ejection_siblings_rate: Mean failure rate of the other endpoints from
            which failures in a row eject no endpoint, since they then occur
            at random; endpoints that are unreachable are ejected even so.
        ejection_rate_margin: Difference to the mean failure rate of the other
            endpoints above which an endpoint is ejected.
        ejection_samples: Number of calls needed before the rate is compared.
        ejection_s: Length of the first ejection; each further one is twice as
            long.
        ejection_maximum_s: Longest ejection.
        ejection_memory_s: Time without failures after which the length of the
            next ejection is halved.
        maximum_ejected_share: Highest share of a service's endpoints that may
            be ejected at once; of two or more, one always may be.
        level_hold_s: Time for which a reported level stays as it is.
        level_rise_per_s: Priority numbers per second by which it then rises.
        level_lifetime_s: Age at which a reported level is dropped.
        probe_share: Share of the calls refused by every level that are sent
            all the same.
        hint_lifetime_s: Age from which a reported load has no weight.
        health_rise_per_s: Rise per second of the learned share of the
            announced capacity while no call ends.
        draining_notice_s: Time for which a draining notice on an answer holds
            without a newer record from the directory.
        retry_after_minimum_ms: Shortest retry-after time of a refusal.
        retry_after_maximum_ms: Longest retry-after time of a refusal.
        no_place_retry_after_ms: Retry-after time if no endpoint matches the
            place selector.
        tombstone_s: Time for which the record of a gone endpoint is kept, so
            that older records do not bring it back.
    """

    region: str = ""
    zone: str = ""
    spill_cost: float = 1.0
    zone_margin: float = 0.1
    region_margin: float = 0.5
    slow_start_s: float = 5.0
    slow_start_share: float = 0.1
    return_slow_start_s: float = 1.0
    ejection_failures: int = 5
    repeated_ejection_failures: int = 2
    ejection_siblings_rate: float = 0.1
    ejection_rate_margin: float = 0.3
    ejection_samples: int = 20
    ejection_s: float = 1.0
    ejection_maximum_s: float = 30.0
    ejection_memory_s: float = 10.0
    maximum_ejected_share: float = 0.34
    level_hold_s: float = 0.25
    level_rise_per_s: float = 512.0
    level_lifetime_s: float = 3.0
    probe_share: float = 0.01
    hint_lifetime_s: float = 1.0
    health_rise_per_s: float = 0.2
    draining_notice_s: float = 30.0
    retry_after_minimum_ms: int = 500
    retry_after_maximum_ms: int = 2500
    no_place_retry_after_ms: int = 5000
    tombstone_s: float = 600.0
