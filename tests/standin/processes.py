"""Runs stand-ins and the load generator as processes of their own."""

import json
import os
import subprocess
import sys
import urllib.error
import urllib.request

import yaml


class Standin:
    """A stand-in process; the constructor returns once it listens.

    Attributes:
        process: The `subprocess.Popen`.
        port: TCP port that it listens on.
        target: Its address as `127.0.0.1:PORT`.
    """

    def __init__(self, folder, name, **settings):
        path = folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump({"service": name, **settings}))
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cranberrymux.standin",
                "--settings",
                str(path),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        ready = json.loads(self.process.stdout.readline())
        assert ready["event"] == "standin-ready"
        self.port = ready["port"]
        self.target = f"127.0.0.1:{self.port}"

    def ask(self, path, body=None, headers=None):
        """Sends one request; returns status, decoded JSON body and headers."""
        request = urllib.request.Request(
            f"http://{self.target}{path}", body, headers or {}
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, json.load(response), response.headers
        except urllib.error.HTTPError as error:
            return error.code, json.load(error), error.headers

    def counters(self):
        return self.ask("/counters")[1]

    def stop(self):
        """Sends SIGTERM; returns exit status and remaining log lines."""
        self.process.terminate()
        remaining_log = self.process.communicate(timeout=20)[0]
        return self.process.returncode, remaining_log

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()


def run_load(folder, targets, kinds, *options, **settings):
    """Runs the load generator to its end.

    Returns:
        Its exit status, and its report or, without one, its standard error.
    """
    path = folder / "load.yaml"
    path.write_text(yaml.safe_dump({"kinds": kinds, **settings}))
    completed = subprocess.run(
        [sys.executable, "-m", "cranberrymux.load", "--settings", str(path)]
        + [argument for target in targets for argument in ("--target", target)]
        + list(options),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=os.environ,
    )
    if not completed.stdout:
        return completed.returncode, completed.stderr
    return completed.returncode, json.loads(completed.stdout)
