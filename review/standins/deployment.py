"""Starts the project's processes as the deploy file does, on loopback."""

import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small sites.
BOUNDS = """\
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.touch_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=102
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=0
bounds.version_ms=8000
bounds.version_all_ms=0
bounds.ttl_max_s=5
"""


def loopback():
    """Returns a loopback address that other runs hardly use."""
    return "127.%d.%d.%d" % (random.randint(1, 250), random.randint(1, 250),
                             random.randint(2, 250))


class Deployment:
    """One zone with the processes that a test starts."""

    def __init__(self, case_folder, store_address):
        self.store_address = store_address
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(pathlib.Path(case_folder) / "record.txt", "w",
                           encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.processes = []
        self.seeds = []
        # Ends the processes too when the script is stopped.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not (ROOT / "target/celerypost").exists():
            print("target/celerypost is not built")
            sys.exit(2)

    def note(self, text):
        with self.lock:
            line = "%8.3f s  %s" % (time.monotonic() - self.began, text)
            if not self.record.closed:
                self.record.write(line + "\n")
                self.record.flush()
                print(line, flush=True)

    def start(self, role, ip, name, extra):
        """Starts a role of the deploy file; returns its Popen object."""
        settings = self.folder / (name + ".conf")
        side = role == "stager"
        settings.write_text(
            "node_name=%s\nrole=%s\nmachine_class=%s\n" %
            (name, role, "side" if side else "edge") +
            "serves=%s\nip=%s\nzone=arusha-a\nregion=arusha\n" %
            ("side" if side else "edge,directory", ip) +
            "zones.arusha-a=arusha\ninternal_ports=7700,7715\n" +
            "seed_nodes=%s\nbootstrap=true\nloss_counts=false\n" %
            ",".join(self.seeds) +
            "limits.cpu_share=%s\nlimits.cpu_cores=1\n" %
            ("0.3" if side else "0.25") +
            "limits.memory_mb=%d\nlimits.max_fds=%d\n" %
            ((128, 2048) if side else (260, 4100)) +
            "limits.link_mbps=%s\nlimits.disk_mb=0\n" %
            ("7.3" if side else "1000.0") +
            "discovery=platform\nentry=directory\nheartbeat_ms=1200\n" +
            "fault_tolerance.machines=1\nfault_tolerance.zones=1\n" +
            "fault_tolerance.regions=0\n" + BOUNDS +
            "platform.address=%s\nplatform.form=kv\n" % self.store_address +
            "platform.writes_per_s=400\nplatform.reads_per_s=2000\n" +
            "platform.history_s=20\nplatform.value_bytes=1048576\n" +
            "platform.ttl_min_ms=1000\n" + extra)
        log = open(self.folder / (name + ".log"), "wb")
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["CELERYPOST_NODE_FILE"] = str(settings)
        process = subprocess.Popen(self.roles[role]["run"].split(), cwd=ROOT,
                                   env=environment, stdout=log, stderr=log)
        self.processes.append(process)
        self.note("started %s as process %d on %s" % (name, process.pid, ip))
        return process

    def start_gateway(self, ip, name="edge-1"):
        self.seeds.append(ip + ":8000")
        return self.start("gateway", ip, name,
                          "listen.front=%s:8005\nlisten.ready=%s:8002\n" % (ip, ip) +
                          "listen.directory=%s:8009\n" % ip)

    def start_stager(self, ip, app, service, name="side-1"):
        return self.start("stager", ip, name,
                          "app=%s\nservice=%s\n" % (app, service))

    def log_of(self, name):
        return (self.folder / (name + ".log")).read_text(errors="replace")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def memory_mb(pid):
    """Returns the resident memory of a process, 0 if it has ended."""
    try:
        with open("/proc/%d/status" % pid, encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except (OSError, ProcessLookupError):
        pass
    return 0.0
