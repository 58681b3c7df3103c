package main

import (
	"errors"
	"fmt"
	"time"
)

// keyedConfig returns a configuration with one route that needs a key.
func keyedConfig(version int, tenants []any) map[string]any {
	config := plainConfig()
	config["version"], config["tenants"] = version, tenants
	config["routes"].([]any)[0].(map[string]any)["public"] = false
	return config
}

// lastTenant: an operator takes away the key of the last tenant, with the tenant. Later than config_apply_ms after the
// acknowledgement, no request may run with that key, with a key that no configuration ever held, or without one.
func lastTenant(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return exitCannot, err
	}
	defer f.close()
	for i := 1; i <= 3; i++ {
		f.add("control", i)
	}
	for i := 1; i <= 3; i++ {
		f.add("front", i)
	}
	if err := f.startAll(true); err != nil {
		return exitCannot, err
	}
	for i := 1; i <= 3; i++ {
		if _, err := startWorker(f, fmt.Sprintf("i-%08x", 0xa0+i), "berth", i, 20*time.Millisecond); err != nil {
			return exitCannot, err
		}
	}
	tenants := []any{map[string]any{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}
	if !f.postAny("/v1/config/put", keyedConfig(3, tenants), 10*time.Second) || !f.waitReady(10*time.Second) {
		return exitCannot, errors.New("the system did not start")
	}
	r.add("configuration 3 acknowledged: one tenant with one key; all front VMs ready")
	time.Sleep(contactTime)
	ran := func(label, key string) int {
		served := 0
		for i := range 15 {
			front := f.machinesOf("front")[i%3]
			got := sendWithKey(front, fmt.Sprintf("%s%04d", label, i), "h.example", "/check/x", "body", key, 4*time.Second)
			r.add("request %s%04d to %s with key %q: status %d", label, i, front.name, key, got.status)
			if got.sealed {
				served++
			}
		}
		return served
	}
	if held, other := ran("a", "n2ctnfzs989anu6wsjnb"), ran("b", "zzzzzzzzzzzzzzzzzzzz"); held != 15 || other != 0 {
		return exitCannot, fmt.Errorf("at first %d of 15 requests ran with the tenant's key and %d with another one", held, other)
	}
	if trouble {
		tenants = []any{}
	}
	if !f.postAny("/v1/config/put", keyedConfig(8, tenants), 5*time.Second) {
		return exitCannot, errors.New("configuration 8 was not acknowledged")
	}
	r.add("configuration 8 acknowledged: %d tenants", len(tenants))
	time.Sleep(contactTime)
	withdrawn, other, none := ran("c", "n2ctnfzs989anu6wsjnb"), ran("d", "zzzzzzzzzzzzzzzzzzzz"), ran("e", "")
	r.add("3 s later: %d of 15 ran with the key of configuration 3, %d with one that was never held, %d without a key", withdrawn, other, none)
	if other > 0 {
		r.add("ROUTE is broken")
		return exitBroken, nil
	}
	r.add("ROUTE held")
	return exitHeld, nil
}
