#!/usr/bin/env python3
"""Writes the settings and declarations of both deployments.

usage: examples/generate.py   (writes below examples/kavango, examples/ageeb)
"""
import json
import pathlib

HERE = pathlib.Path(__file__).parent


def deployment(name, regions, instances, link_mbit, services, base_port):
    folder = HERE / name
    folder.mkdir(exist_ok=True)
    domains = [f"{r}-{x}" for r in regions for x in "ab"]
    next_target_port = base_port + 500
    declared = []
    for service in services:
        targets = []
        for i in range(service["targets"]):
            targets.append({
                "id": f"{service['id']}-{i + 1:02}",
                "failure_domain": domains[i % len(domains)],
                "address": f"127.0.0.1:{next_target_port}",
                "slots": service["slots"],
            })
            next_target_port += 1
        declared.append({
            "id": service["id"],
            "max_connections_per_target": service["connections"],
            "kinds": service["kinds"],
            "targets": targets,
        })
    document = {
        "fleet_instances": instances,
        "regions": [{"id": r, "failure_domains": [f"{r}-a", f"{r}-b"]}
                    for r in regions],
        "links": [{"first": a, "second": b, "megabits_per_second": link_mbit}
                  for i, a in enumerate(regions) for b in regions[i + 1:]],
        "client_blocks": [
            {"block": f"10.{i}.0.0/16", "failure_domain": d}
            for i, d in enumerate(domains)],
        "services": declared,
    }
    (folder / "declarations.json").write_text(
        json.dumps(document, indent=2) + "\n")
    for i in range(instances):
        domain = domains[i % len(domains)]
        seeds = ", ".join(f"127.0.0.1:{base_port + 200 + k}"
                          for k in range(3))
        (folder / f"instance-{i + 1:02}.ini").write_text(f"""[instance]
id = {domain}-{i // len(domains) + 1}
failure_domain = {domain}

[traffic]
listen = 127.0.0.1:{base_port + i}

[operators]
listen = 127.0.0.1:{base_port + 100 + i}
token = {name}-example-token

[peers]
listen = 127.0.0.1:{base_port + 200 + i}
seeds = {seeds}

[store]
endpoints = 127.0.0.1:{base_port + 400}
""")


def kind(name, methods, idempotent, deadline_ms, priority, **more):
    return {"id": name, "methods": methods, "idempotent": idempotent,
            "deadline_ms": deadline_ms, "priority": priority, **more}


deployment(
    "kavango", ["khomas", "erongo", "oshana"], 12, 4000,
    [{"id": "catalogue", "targets": 24, "slots": 6, "connections": 400,
      "kinds": [kind("browse", ["GET", "HEAD"], True, 1000, 3),
                kind("order", ["POST"], False, 5000, 0)]},
     {"id": "stockroom", "targets": 14, "slots": 6, "connections": 400,
      "kinds": [kind("shelf", ["GET", "HEAD"], True, 500, 1),
                kind("order", ["POST"], False, 5000, 0)]}], 17000)
deployment(
    "ageeb", ["cairo", "alex", "aswan"], 12, 280,
    [{"id": "bench-desk", "targets": 14, "slots": 7, "connections": 330,
      "kinds": [kind("lookup", ["GET", "HEAD"], True, 500, 1),
                kind("ticket", ["POST"], False, 5000, 0)]},
     {"id": "ledger-archive", "targets": 12, "slots": 7, "connections": 330,
      "kinds": [kind("lookup", ["GET", "HEAD"], True, 500, 1),
                kind("deposit", ["POST"], False, 5000, 0),
                kind("archive", ["PUT"], True, 600000, 9,
                     long_running=True)]}], 19000)
