"""Starts stand-ins and loads as processes and talks to them."""

import json
import os
import subprocess
import sys
import urllib.error
import urllib.request

import yaml


class Standin:
    """One stand-in process."""

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
        """Gives (status, answer, headers)."""
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
        """Gives the exit status and the later log lines."""
        self.process.terminate()
        rest = self.process.communicate(timeout=20)[0]
        return self.process.returncode, rest

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()


def run_load(folder, targets, kinds, *options, **settings):
    """Gives (exit status, report)."""
    path = folder / "load.yaml"
    path.write_text(yaml.safe_dump({"kinds": kinds, **settings}))
    done = subprocess.run(
        [sys.executable, "-m", "cranberrymux.load", "--settings", str(path)]
        + [word for target in targets for word in ("--target", target)]
        + list(options),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=os.environ,
    )
    if not done.stdout:
        return done.returncode, done.stderr
    return done.returncode, json.loads(done.stdout)
