"""Valid messages of the platform, which tests change."""

ROUTE = {
    "name": "r-1",
    "hostname": "A.example",
    "pathPrefix": "/a/",
    "timeoutMs": 1500,
    "targetLatencyMs": 60,
    "priority": 2,
    "service": "s",
    "maxAttempts": 3,
    "stretch": 1.6,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE, {**ROUTE, "name": "r-2", "pathPrefix": "/a/b/"}],
    "services": [{"name": "s"}],
}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482_113,
    "sequence": 4,
    "born": 99,
}
STEP = {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 90}
JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [STEP],
}
