package main

import (
	"fmt"
	"time"
)

// slashes sends requests to a route for all paths of a host, of which some begin with an empty
// segment. The server must get the path that the client sent.
func slashes(r *record, trouble bool) result {
	d := setUp(r, 3, 3, configuration(1, "/", "unsafe"))
	if d == nil {
		return notRun
	}
	path := "/depot/orders/book?bags=20"
	if trouble {
		path = "//depot/orders/book?bags=20"
	}
	changed, ran := 0, 0
	for i := range 9 {
		id := fmt.Sprintf("%016x", i+1)
		request(d.running("front")[i%3], "POST", path, id, r)
		time.Sleep(100 * time.Millisecond)
		for _, s := range d.servers {
			s.mu.Lock()
			if got, ok := s.targets[id]; ok {
				ran++
				if got != path {
					changed++
					r.add("UNASKED: %s was sent to %s and ran as %s", id, path, got)
				}
			}
			s.mu.Unlock()
		}
	}
	switch {
	case ran == 0:
		return notRun
	case changed > 0:
		return broken
	}
	return held
}
