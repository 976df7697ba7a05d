package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// tokens has a tenant that requests four times its limit. One request in ten states the largest
// integer as its maximum number of output tokens.
func tokens(r *record, trouble bool) result {
	const (
		rate, burst = 20000.0, 20000.0
		window      = 8 * time.Second
		overage     = 0.1
		slack       = 110000.0
		interval    = 12 * time.Millisecond // 83 requests of 1,000 tokens a second
	)
	document := strings.Replace(string(configuration(1, "/orders/", "unsafe")), `"RatePerS":0`,
		fmt.Sprintf(`"Unit":"tokens","PlainTokens":200,"RatePerS":%d`, int(rate)), 1)
	document = strings.Replace(document, `"Burst":0`, fmt.Sprintf(`"Burst":%d`, int(burst)), 1)
	d := setUp(r, 3, 3, []byte(document))
	if d == nil {
		return notRun
	}
	type sent struct {
		at     time.Time
		counts string
	}
	requests := make(map[string]sent)
	var group sync.WaitGroup
	fronts := d.running("front")
	began := time.Now()
	for i := 0; time.Since(began) < 20*time.Second; i++ {
		id, counts := fmt.Sprintf("%016x", i+1), "800,200"
		if trouble && i%10 == 9 {
			counts = "800,9223372036854775807"
		}
		requests[id] = sent{time.Now(), counts}
		group.Add(1)
		go func() {
			defer group.Done()
			request(fronts[i%3], "POST", "/orders/book", id, r, "X-Token-Counts: "+counts)
		}()
		time.Sleep(interval)
	}
	group.Wait()
	// Only the requests of 1,000 tokens are counted, in each window that begins with one of them.
	var times []time.Time
	largest, other := 0, 0
	for _, s := range d.servers {
		s.mu.Lock()
		for id := range s.runs {
			if requests[id].counts == "800,200" {
				times = append(times, requests[id].at)
			} else {
				other++
			}
		}
		s.mu.Unlock()
	}
	for _, from := range times {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		largest = max(largest, n)
	}
	limit := int((rate*window.Seconds()+burst)*(1+overage) + slack)
	r.add("QUOTA: in some %v, %d tokens of requests of 1,000 ran; %d are allowed; %d requests with the largest integer ran besides", window, 1000*largest, limit, other)
	fmt.Printf("%d tokens ran in some %v, %d are allowed\n", 1000*largest, window, limit)
	switch {
	case largest == 0:
		return notRun
	case 1000*largest > limit:
		return broken
	}
	return held
}
