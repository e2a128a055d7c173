#!/usr/bin/env python3
"""Measures one knapweedgapd process with 10, 40 and 160 stand-in workers on the loopback.

Usage: scripts/capacity.py [DIRECTORY OF THE PROGRAMS] [SECONDS]

Prints, for each number of workers: processor time and memory of the daemon and of one worker,
heartbeats and their bytes, and the calls to the key-value service. The run is bounded in time, and
every process is ended by its id.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

PROGRAMS = sys.argv[1] if len(sys.argv) > 1 else "target/release"
SECONDS = int(sys.argv[2]) if len(sys.argv) > 2 else 15
SETTLE_S = 8
SIZES = [10, 40, 160]
CLIENT, OPERATOR, PEER = 18310, 18311, 18312
TICK = os.sysconf("SC_CLK_TCK")


def start(children, name, *arguments):
    path = os.path.join(PROGRAMS, name)
    command = [path, "--listen", "127.0.0.1:0", *arguments]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    children.append(child)
    address = child.stdout.readline().strip().removeprefix("listening ")
    return child, address


def call(address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    request.add_header("content-type", "application/json")
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.load(answer)


def processor_s(child):
    with open(f"/proc/{child.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def threads_s(child):
    times = {}
    for thread in os.listdir(f"/proc/{child.pid}/task"):
        with open(f"/proc/{child.pid}/task/{thread}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        times[thread] = (int(fields[11]) + int(fields[12])) / TICK
    return times


def resident_kib(child):
    with open(f"/proc/{child.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


class Relay:
    """Forwards connections to one worker and counts the bytes both ways."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.counts = [0, 0]
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            self.connections += 1
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            for index, ends in enumerate([(client, server), (server, client)]):
                threading.Thread(target=self.copy, args=(index, *ends), daemon=True).start()

    def copy(self, index, source, sink):
        try:
            while data := source.recv(65536):
                self.counts[index] += len(data)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            sink.close()


def measure(workers, tasks):
    children = []
    try:
        _, store = start(children, "standin-kv")
        _, inventory = start(children, "standin-inventory")
        vms, hosts, relay = [], [], None
        for number in range(workers):
            name = f"w{number}"
            host, address = start(children, "standin-worker", "--worker", name, "--capacity", "16/60GiB/0")
            hosts.append(host)
            if number == 0:
                relay = Relay(address)
                address = relay.address
            vms.append({
                "id": name, "role": "worker", "address": address, "zone": f"zone-{number % 3}",
                "rack": f"rack-{number // 10}", "state": "live",
                "capacity": {"processor": 16000, "memory": 60 << 30, "accelerator": 0},
            })
        call(inventory, "/control/vms", {"replace": vms})
        with tempfile.TemporaryDirectory() as directory:
            config = os.path.join(directory, "entry.json")
            with open(config, "w") as file:
                json.dump({
                    "instance": "entry-1", "zone": "zone-0", "client": f"127.0.0.1:{CLIENT}",
                    "operator": f"127.0.0.1:{OPERATOR}", "peer": f"127.0.0.1:{PEER}",
                    "store": [store], "inventory": inventory, "log_level": "ERROR",
                }, file)
            daemon = subprocess.Popen(
                [os.path.join(PROGRAMS, "knapweedgapd"), "--config", config],
                stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True)
            children.append(daemon)
            time.sleep(SETTLE_S)
            if daemon.poll() is not None:
                sys.exit(f"knapweedgapd ended: {daemon.stderr.read()}")
            accepted = submit(workers * tasks) if tasks else 0
            if tasks:
                time.sleep(3)
            return row(workers, accepted, daemon, hosts, store, relay)
    finally:
        for child in children:
            child.terminate()
        for child in children:
            try:
                child.wait(timeout=5)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


def submit(tasks):
    accepted = 0
    for number in range(0, tasks, 20):
        job = {
            "team": "plans", "key": f"job-{number}", "class": "grind", "priority": "normal",
            "tasks": min(20, tasks - number), "run_time": "10min",
            "size": {"processor": "1", "memory": "1GiB"},
        }
        call(f"127.0.0.1:{OPERATOR}", "/v1/jobs", job)
        accepted += job["tasks"]
    return accepted


def row(workers, tasks, daemon, hosts, store, relay):
    before = (processor_s(daemon), list(relay.counts), call(store, "/control/stats"), threads_s(daemon),
              processor_s(hosts[0]))
    begin = time.monotonic()
    time.sleep(SECONDS)
    span = time.monotonic() - begin
    stats = call(store, "/control/stats")
    threads = threads_s(daemon)
    used = sorted((round((threads[name] - before[3].get(name, 0)) * 1000 / span, 1) for name in threads),
                  reverse=True)
    return {
        "workers": workers,
        "tasks": tasks,
        "daemon_processor_ms_per_s": round((processor_s(daemon) - before[0]) * 1000 / span, 2),
        "daemon_threads_ms_per_s": used[:4],
        "daemon_resident_kib": resident_kib(daemon),
        "worker_processor_ms_per_s": round((processor_s(hosts[0]) - before[4]) * 1000 / span, 2),
        "worker_resident_kib": resident_kib(hosts[0]),
        "worker_received_bytes_per_s": round((relay.counts[0] - before[1][0]) / span),
        "worker_sent_bytes_per_s": round((relay.counts[1] - before[1][1]) / span),
        "worker_connections": relay.connections,
        "store": difference(before[2], stats, span),
    }


def difference(before, after, span):
    if isinstance(after, dict):
        changes = {key: difference((before or {}).get(key), value, span) for key, value in after.items()}
        return {key: value for key, value in changes.items() if value not in (0, None, {})}
    if isinstance(after, (int, float)) and not isinstance(after, bool):
        return round((after - (before or 0)) / span, 2)
    return None


def main():
    for tasks in [0, 8]:
        for workers in SIZES:
            print(json.dumps(measure(workers, tasks)), flush=True)


if __name__ == "__main__":
    main()
