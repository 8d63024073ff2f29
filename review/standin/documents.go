package main

import (
	"encoding/json"
	"time"
)

type route map[string]any

// config returns a configuration as the operator sends it, with the limits of a small deployment.
func config(version int, routes []route, services []map[string]any, tenants []map[string]any) []byte {
	b, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 190000}})
	return b
}

func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

func newRoute(name, prefix, kind, service string, timeoutMS, attempts int) route {
	return route{"name": name, "host": "a.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMS, "slo_ms": 300, "priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false}
}

// putConfig sends a configuration, to one host after the other, until it is acknowledged.
func (f *fleet) putConfig(body []byte, limit time.Duration) bool {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		status, answer, err := f.order(f.hosts[i%len(f.hosts)], "PUT", "/config", body, 2*time.Second)
		if status == 200 {
			return true
		}
		f.rec.log("PUT /config: %d %s %v", status, answer, err)
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
