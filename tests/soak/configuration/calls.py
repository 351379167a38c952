"""Calls of an operator, each sent again until it gets a clear answer."""

import http
import http.client
import random
import socket
import threading
import time
import urllib.parse

PATH = "/cranberrymux/config"
# Statuses that end a call at once; other 4xx end it at the third attempt.
FINAL_STATUSES = (400, 409, 412, 413, 422)
AGAIN_STATUSES = (408, 429)
MAXIMUM_ATTEMPTS = 3
MAXIMUM_REDIRECTS = 2
MINIMUM_PAUSE_S = 0.05
MAXIMUM_PAUSE_S = 0.5
ANSWER_TIMEOUT_S = 2.0
LOST_ANSWER_SHARE = 0.2
MAXIMUM_LOSS_DELAY_S = 0.1
_LOST = -1


class Call(threading.Thread):
    """Sends one configuration until it is accepted or refused.

    Some answers are lost on purpose: the connection is closed without reading.

    Attributes:
        status: Status of the clear answer; 0 without one.
        ip: Address of the control instance that gave it.
        failures: Time and status of each attempt with a 5xx or no answer,
            monotonic seconds.
    """

    def __init__(self, document, get_instances, seed, should_stop):
        """Prepares a call.

        Args:
            document: The configuration.
            get_instances: Function that returns the operator's list.
            seed: Seed of the order of instances and of the lost answers.
            should_stop: `threading.Event` that ends it.
        """
        super().__init__(daemon=True)
        self.status = 0
        self.ip = ""
        self.failures = []
        self._document = document
        self._get_instances = get_instances
        self._random = random.Random(f"call {seed} {document.version}")
        self._should_stop = should_stop

    def run(self):
        pause_s = MINIMUM_PAUSE_S
        refusals = 0
        while not self._should_stop.is_set():
            instance = self._random.choice(self._get_instances())
            status = self._send(instance)
            if status == 200 or status in FINAL_STATUSES:
                self.status, self.ip = status, instance.ip
                return
            if 400 <= status < 500 and status not in AGAIN_STATUSES:
                refusals += 1
                if refusals == MAXIMUM_ATTEMPTS:
                    self.status, self.ip = status, instance.ip
                    return
            elif status != _LOST:
                self.failures.append((time.monotonic(), status))
            self._should_stop.wait(pause_s)
            pause_s = min(2 * pause_s, MAXIMUM_PAUSE_S)

    def _send(self, instance):
        """Returns the status; `_LOST` if the answer was not read."""
        if self._random.random() < LOST_ANSWER_SHARE:
            self._send_and_leave(instance)
            return _LOST
        address = f"{instance.ip}:{instance.fleet.control_port}"
        status, location = self._put(address)
        for _ in range(MAXIMUM_REDIRECTS):
            if status == http.HTTPStatus.TEMPORARY_REDIRECT:
                address = urllib.parse.urlsplit(location).netloc
                status, location = self._put(address)
        return status

    def _put(self, address):
        """Returns status and `Location` of the answer; 0 without one."""
        connection = http.client.HTTPConnection(
            address, timeout=ANSWER_TIMEOUT_S
        )
        headers = {"If-Match": str(self._document.base)}
        try:
            connection.request("PUT", PATH, self._document.body, headers)
            response = connection.getresponse()
            response.read()
            return response.status, response.headers.get("Location", "")
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def _send_and_leave(self, instance):
        head = (
            f"PUT {PATH} HTTP/1.1\r\nHost: {instance.ip}\r\n"
            f"If-Match: {self._document.base}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(self._document.body)}\r\n\r\n"
        )
        address = (instance.ip, instance.fleet.control_port)
        try:
            with socket.create_connection(address, ANSWER_TIMEOUT_S) as sent:
                sent.sendall(head.encode() + self._document.body)
                time.sleep(self._random.uniform(0.0, MAXIMUM_LOSS_DELAY_S))
        except OSError:
            return  # It is sent again, as without an answer.
