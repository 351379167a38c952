"""A fake owner of quotas with the interface of its client."""

from twisted.internet import defer

from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import token_allocator
from cranberrymux.decisions.quotas import token_messages
from cranberrymux.wire import quota_conversion
from cranberrymux.wire import wire_error

DELAY_S = 0.002
LEASE_S = 0.5


class QuotaOwner:
    """Answers requests for tokens in virtual time, with a real allocator.

    Attributes:
        requests: All requests received.
        delay_s: Seconds from a request to its answer.
        is_unreachable: True to have every call time out.
        allocator: The allocator.
    """

    def __init__(self, network, *accounts):
        self._network = network
        self.requests = []
        self.delay_s = DELAY_S
        self.is_unreachable = False
        self.is_connected = True
        self.restart(*accounts)

    def restart(self, *accounts):
        now_s = self._network.seconds()
        self.allocator = token_allocator.TokenAllocator(
            quota_settings.QuotaSettings(), now_s
        )
        self.allocator.set_accounts(accounts, now_s)

    def connect(self, address):
        return self

    def start(self):
        pass

    def stop(self):
        pass

    async def take_quota(self, message):
        self.requests.append(message)
        waiting = defer.Deferred()
        self._network.callLater(self.delay_s, waiting.callback, None)
        await waiting
        if self.is_unreachable:
            return wire_error.WireError(
                wire_error.WireErrorReason.TIMEOUT, "unreachable"
            )
        answer = self.allocator.take(
            quota_conversion.decode_request(message),
            self._network.seconds(),
            LEASE_S,
        )
        if isinstance(answer, token_messages.TokenRefusal):
            return wire_error.WireError(
                wire_error.WireErrorReason.REFUSED, f"owner {answer.value}"
            )
        return quota_conversion.encode_answer(answer, 1)
