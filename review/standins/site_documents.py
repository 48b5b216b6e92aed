"""Documents of a small deployment, as the operator and the replicas write."""

KEY = "jnbanfqasnmgkcuyj8pj"
MODEL = "daka510000"


def route(name, host, prefix, kind, service, timeout_ms, attempts, **more):
    return dict({
        "name": name, "host": host, "prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1,
        "service": service, "max_attempts": attempts, "public": False,
        "allowed_regions": [],
    }, **more)


def engine_service(name, chunks=96, chunk_bytes=24576):
    return {
        "name": name, "health_path": "/health", "max_conns": 294,
        "protocol": "h1", "tls": False, "cold_start_s": 3.0, "cold_per_s": 26.0,
        "engine": {
            "slots": 16, "kv_tokens": 1180000, "kv_token_bytes": 163840,
            "link_mbps": 400000.0, "stride": 5,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0,
                        "warm_s": 0.3}],
            "mb": 266000.0, "adapter_slots": 8, "loads_per_s": 0.0,
            "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227,
            "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048,
            "report_lag_ms": 200.0, "loads_at_once": 8, "delays": [],
            "usual": {"prompt": 977, "answer": 94}, "layers": 16,
            "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
            "chunks": chunks, "chunk_bytes": chunk_bytes,
        },
    }


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 100,
            "protocol": "h1", "tls": False, "cold_start_s": 0.0,
            "cold_per_s": 0.0}


def origin_service(name, address):
    return {"name": name, "origin": address, "zone": "arusha-a",
            "link_mbps": 7.3, "max_conns": 48}


def config(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1,
                     "allowed_regions": []}],
    }


def registration(service, address, born, sequence, slots, version=None):
    entry = {
        "service": service, "address": address, "zone": "arusha-a",
        "version": "v1", "slots": slots, "state": "ready",
        "cold_remaining_ms": 0, "sequence": sequence, "born": born,
    }
    if version is not None:
        entry["models"] = [{"name": MODEL, "version": version, "adapters": []}]
    return entry
