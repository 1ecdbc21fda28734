package main

const path = "/desk/"

func manifest(service string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "desk", "host": "jobs.example", "path-prefix": path, "service": service, "priority": 1, "max-attempts": 4,
			"stretch": 2.2, "target-latency-ms": 2500, "timeout-ms": 3000,
		}},
		"services": []map[string]any{{"name": service, "rejects-overload": false}},
		"limits":   map[string]any{},
	}
}
