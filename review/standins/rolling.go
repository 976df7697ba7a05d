package main

import "time"

// rolling replaces four of the five core machines, one after the other: each next one leaves
// when the successor of the last one has had its time to catch up.
func rolling(r *record, trouble bool) result {
	d := setUp(r, 5, 3, configuration(1, "/orders/", "unsafe"))
	if d == nil {
		return notRun
	}
	c := &clients{d: d, method: "POST", paths: []string{"/orders/book"}}
	c.run(100 * time.Millisecond)
	time.Sleep(3 * time.Second)
	if !d.operator.put(7, configuration(7, "/orders/", "unsafe"), 4*time.Second) {
		return notRun
	}
	time.Sleep(2 * time.Second)
	before := c.take()
	r.add("answers by status before: %v", before)
	if before[200] == 0 {
		return notRun
	}
	for _, m := range d.running("core")[:4] {
		if !trouble {
			time.Sleep(catchUp)
			continue
		}
		d.terminate(m)
		successor := d.add("core", m.zone, false)
		if err := d.start(successor, d.controls()); err != nil {
			r.add("not started: %v", err)
			return notRun
		}
		time.Sleep(catchUp + 100*time.Millisecond)
	}
	// All machines run. The rule gives RecoveryS after the last fault; the operator reads for
	// that time and longer.
	r.add("all machines are back")
	back := time.Now()
	newest := 0
	for time.Since(back) < 25*time.Second {
		for _, m := range d.running("core") {
			newest = max(newest, d.operator.read(m))
		}
		time.Sleep(500 * time.Millisecond)
		if newest > 0 && time.Since(back) > 15*time.Second {
			break
		}
	}
	c.take()
	time.Sleep(3 * time.Second)
	r.add("answers by status after: %v", c.take())
	c.stop()
	if newest != 7 {
		r.add("CONFIG: configuration 7 was acknowledged and does not come (newest read: %d)", newest)
		return broken
	}
	return held
}
