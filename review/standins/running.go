package main

import (
	"bytes"
	"fmt"
	"time"
)

// running orders a roll-out of a service to the version that all of its servers run already. The
// service's route was added by the second configuration.
func running(r *record, trouble bool) result {
	first := configuration(1, "/orders/", "unsafe")
	d := setUp(r, 3, 3, first)
	if d == nil {
		return notRun
	}
	for i, zone := range zones {
		s, err := newServer(d.fleet, fmt.Sprintf("i-status-%d", i), "status", zone, "v1", 15*time.Millisecond)
		if err != nil {
			return notRun
		}
		d.servers = append(d.servers, s)
		d.cloud.list(s)
	}
	// The second configuration has a second service and a route to it.
	second := bytes.Replace(first, []byte(`"Version":1`), []byte(`"Version":2`), 1)
	second = bytes.Replace(second, []byte(`"Services":[`), []byte(`"Services":[{"Name":"status","HealthCheckPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false},`), 1)
	second = bytes.Replace(second, []byte(`"Routes":[`), []byte(`"Routes":[{"Name":"r-status","Host":"orders.example","PathPrefix":"/status/","Kind":"safe","TimeoutMs":2500,"TargetLatencyMs":100,"Priority":0,"Service":"status","MaxAttempts":2,"AllowAnonymous":false},`), 1)
	if !d.operator.put(2, second, 4*time.Second) {
		return notRun
	}
	time.Sleep(4 * time.Second)
	old := &clients{d: d, method: "POST", paths: []string{"/orders/book"}}
	added := &clients{d: d, method: "GET", paths: []string{"/status/read"}}
	old.run(50 * time.Millisecond)
	added.prefix = "a"
	added.run(50 * time.Millisecond)
	time.Sleep(4 * time.Second)
	before, beforeAdded := old.take(), added.take()
	r.add("before: first route %v, added route %v", before, beforeAdded)
	if before[200] < 20 || beforeAdded[200] < 20 {
		return notRun
	}
	ordered := time.Now()
	if trouble {
		if !d.operator.rollout("status", "v1", 12*time.Second) {
			return notRun
		}
		d.alongside("status", "v1")
	}
	time.Sleep(time.Until(ordered.Add(30 * time.Second)))
	state, target := d.operator.state("status")
	r.add("roll-out of status: state %q, target %q", state, target)
	old.take()
	added.take()
	time.Sleep(20 * time.Second)
	first20, added20 := old.take(), added.take()
	old.stop()
	added.stop()
	share := func(statuses map[int]int) (served float64, n int) {
		for _, k := range statuses {
			n += k
		}
		return float64(statuses[200]) / float64(max(n, 1)), n
	}
	oldShare, _ := share(first20)
	addedShare, n := share(added20)
	r.add("CONFIG: from 30 to 50 s after the order: first route %v, added route %v", first20, added20)
	fmt.Printf("the first route is served %.2f, the added one %.2f of %d\n", oldShare, addedShare, n)
	if n < 20 || oldShare == 0 {
		return notRun
	}
	if addedShare < oldShare/4 {
		return broken
	}
	return held
}

// alongside does what the platform does for a roll-out: it starts servers of the version beside the
// old ones, and drains them some seconds after the roll-out was rolled back.
func (d *deployment) alongside(service, version string) {
	var started []*server
	for i, zone := range zones {
		s, err := newServer(d.fleet, fmt.Sprintf("i-new-%d", i), service, zone, version, 15*time.Millisecond)
		if err != nil {
			d.record.add("not started: %v", err)
			return
		}
		started = append(started, s)
	}
	d.cloud.list(started...)
	d.record.add("the platform has started three servers of %s, version %s", service, version)
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		if state, _ := d.operator.state(service); state == "rolled_back" {
			d.record.add("rolled back; the new servers drain in 4 s and are gone 4 s later")
			time.Sleep(4 * time.Second)
			d.cloud.drain(started...)
			time.Sleep(4 * time.Second)
			d.cloud.remove(started...)
			return
		}
	}
}
