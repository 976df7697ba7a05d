package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// order starts a rollout and sends the order again until it is acknowledged.
func (o *operator) rollout(service, target string, within time.Duration) bool {
	body, _ := json.Marshal(map[string]any{"Service": service, "Target": target, "DurationS": within.Seconds()})
	for i := range 8 {
		cores := o.fleet.running("core")
		m := cores[i%len(cores)]
		status, _ := o.call(http.MethodPost, m.control(), "/Rollouts.Start", body)
		o.fleet.record.add("%s answers %d to the rollout of %s to %s in %v", m.name, status, service, target, within)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// state returns the state of a service's rollout, empty if there is no answer.
func (o *operator) state(service string) (state, target string) {
	for _, m := range o.fleet.running("core") {
		status, body := o.call(http.MethodGet, m.control(), "/Rollouts.Get/"+service, nil)
		var got struct{ State, Target string }
		if status == http.StatusOK && json.Unmarshal(body, &got) == nil {
			return got.State, got.Target
		}
	}
	return "", ""
}

// rollouts orders a version that is several times slower on one route, waits until it is rolled back, and
// orders the next version while the platform still has the slow one's servers.
func rollouts(r *record, trouble bool) result {
	const (
		window        = 12 * time.Second
		exposureShare = 0.1
		exposureSlack = 50
		leaveAfter    = 6 * time.Second // the servers drain some seconds after the roll-back
	)
	d := setUp(r, 3, 3, configuration(1, "/status/", "safe", "/orders/", "unsafe"))
	if d == nil {
		return notRun
	}
	c := &clients{d: d, method: "POST", paths: []string{"/status/s", "/orders/o"}}
	c.run(6 * time.Millisecond)
	time.Sleep(3 * time.Second)
	fleetOf := func(version string, work time.Duration) []*server {
		var out []*server
		for i, zone := range zones {
			s, err := newServer(d.fleet, fmt.Sprintf("i-%s-%d", version, i), "orders", zone, version, work)
			if err != nil {
				return nil
			}
			out = append(out, s)
		}
		return out
	}
	slow, next := fleetOf("v2", 15*time.Millisecond), fleetOf("v3", 15*time.Millisecond)
	if slow == nil || next == nil {
		return notRun
	}
	for _, s := range slow {
		s.slowPath, s.slowWork = "/status/", 75*time.Millisecond
	}
	total := func(servers ...*server) int {
		n := 0
		for _, s := range servers {
			s.mu.Lock()
			for _, k := range s.runs {
				n += k
			}
			s.mu.Unlock()
		}
		return n
	}
	all := append(append(append([]*server{}, d.servers...), slow...), next...)
	if !d.operator.rollout("orders", "v2", window) {
		return notRun
	}
	ordered, before := time.Now(), total(all...)
	d.cloud.list(slow...)
	var back time.Time
	hasNext, hasLeft := false, false
	for time.Since(ordered) < window {
		time.Sleep(200 * time.Millisecond)
		if back.IsZero() {
			if state, _ := d.operator.state("orders"); state == "rolled_back" {
				back = time.Now()
				r.add("v2 is rolled back after %.1f s; %d requests ran there", back.Sub(ordered).Seconds(), total(slow...))
			} else if state == "completed" {
				r.add("v2 is completed")
				return notRun
			}
			continue
		}
		if !hasNext && trouble && time.Since(back) > 500*time.Millisecond {
			hasNext = true
			if !d.operator.rollout("orders", "v3", window) {
				return notRun
			}
			d.cloud.list(next...)
		}
		if !hasLeft && time.Since(back) > leaveAfter {
			hasLeft = true
			r.add("the platform lists v2's servers as draining; %d requests ran there", total(slow...))
			d.cloud.drain(slow...)
		}
	}
	exposed, reached := total(slow...), total(all...)-before
	c.stop()
	limit := int(exposureShare*float64(reached)) + exposureSlack
	r.add("EXPOSURE: of %d requests from the order to the deadline, %d reached v2; %d are allowed", reached, exposed, limit)
	fmt.Printf("%d of %d requests reached the bad version, %d are allowed\n", exposed, reached, limit)
	if back.IsZero() {
		return notRun
	}
	if exposed > limit {
		return broken
	}
	return held
}
