#!/usr/bin/env python3
"""Measures one knapweedgapd process with 10, 40 and 160 stand-in workers on the loopback interface.

Usage: scripts/capacity.py [BINARY_DIRECTORY] [SECONDS]

Prints one line of JSON for each number of workers, without tasks and with 8 tasks per worker:
processor time and memory of the daemon and of one worker, the bytes between them, and the calls to
the key-value service. The run time is bounded, and all child processes are terminated by id.
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

BINARY_DIRECTORY = sys.argv[1] if len(sys.argv) > 1 else "target/release"
SECONDS = int(sys.argv[2]) if len(sys.argv) > 2 else 15
STARTUP_S = 8
WORKER_COUNTS = [10, 40, 160]
CLIENT_PORT, OPERATOR_PORT, PEER_PORT = 18310, 18311, 18312
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def start_standin(children, name, *arguments):
    path = os.path.join(BINARY_DIRECTORY, name)
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


def processor_time_s(child):
    with open(f"/proc/{child.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def thread_times_s(child):
    times = {}
    for thread in os.listdir(f"/proc/{child.pid}/task"):
        with open(f"/proc/{child.pid}/task/{thread}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        times[thread] = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return times


def resident_kib(child):
    with open(f"/proc/{child.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


class Relay:
    """Forwards connections to one worker and counts the bytes in each direction."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.counts = [0, 0]
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
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

    def copy(self, index, source, destination):
        try:
            while data := source.recv(65536):
                self.counts[index] += len(data)
                destination.sendall(data)
        except OSError:
            pass
        finally:
            destination.close()


def measure(workers, tasks):
    children = []
    try:
        _, store = start_standin(children, "standin-kv")
        _, inventory = start_standin(children, "standin-inventory")
        vms, worker_processes, relay = [], [], None
        for number in range(workers):
            name = f"w{number}"
            process, address = start_standin(children, "standin-worker", "--worker", name, "--capacity", "16/60GiB/0")
            worker_processes.append(process)
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
                    "instance": "entry-1", "zone": "zone-0", "client": f"127.0.0.1:{CLIENT_PORT}",
                    "operator": f"127.0.0.1:{OPERATOR_PORT}", "peer": f"127.0.0.1:{PEER_PORT}",
                    "store": [store], "inventory": inventory, "log_level": "ERROR",
                }, file)
            daemon = subprocess.Popen(
                [os.path.join(BINARY_DIRECTORY, "knapweedgapd"), "--config", config],
                stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True)
            children.append(daemon)
            time.sleep(STARTUP_S)
            if daemon.poll() is not None:
                sys.exit(f"knapweedgapd exited during startup: {daemon.stderr.read()}")
            accepted = submit(workers * tasks) if tasks else 0
            if tasks:
                time.sleep(3)
            return measure_row(workers, accepted, daemon, worker_processes, store, relay)
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
        call(f"127.0.0.1:{OPERATOR_PORT}", "/v1/jobs", job)
        accepted += job["tasks"]
    return accepted


def measure_row(workers, tasks, daemon, worker_processes, store, relay):
    before = (processor_time_s(daemon), list(relay.counts), call(store, "/control/stats"), thread_times_s(daemon),
              processor_time_s(worker_processes[0]))
    started = time.monotonic()
    time.sleep(SECONDS)
    elapsed_s = time.monotonic() - started
    stats = call(store, "/control/stats")
    threads = thread_times_s(daemon)
    busiest = sorted((round((threads[name] - before[3].get(name, 0)) * 1000 / elapsed_s, 1) for name in threads),
                  reverse=True)
    return {
        "workers": workers,
        "tasks": tasks,
        "daemon_processor_ms_per_s": round((processor_time_s(daemon) - before[0]) * 1000 / elapsed_s, 2),
        "daemon_threads_ms_per_s": busiest[:4],
        "daemon_resident_kib": resident_kib(daemon),
        "worker_processor_ms_per_s": round((processor_time_s(worker_processes[0]) - before[4]) * 1000 / elapsed_s, 2),
        "worker_resident_kib": resident_kib(worker_processes[0]),
        "worker_received_bytes_per_s": round((relay.counts[0] - before[1][0]) / elapsed_s),
        "worker_sent_bytes_per_s": round((relay.counts[1] - before[1][1]) / elapsed_s),
        "worker_connections": relay.connections,
        "store": rates_between(before[2], stats, elapsed_s),
    }


def rates_between(before, after, elapsed_s):
    if isinstance(after, dict):
        changes = {key: rates_between((before or {}).get(key), value, elapsed_s) for key, value in after.items()}
        return {key: value for key, value in changes.items() if value not in (0, None, {})}
    if isinstance(after, (int, float)) and not isinstance(after, bool):
        return round((after - (before or 0)) / elapsed_s, 2)
    return None


def main():
    for tasks in [0, 8]:
        for workers in WORKER_COUNTS:
            print(json.dumps(measure(workers, tasks)), flush=True)


if __name__ == "__main__":
    main()
