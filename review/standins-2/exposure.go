package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	moveS         = 30   // DurationS
	bookedPerS    = 14.4 // order-booking and order-status of the sheet
	lookedPerS    = 6.8
	failureShare  = 0.2 // of the answers of the bad version on one route
	exposureShare = 0.1 // ExposureShare and ExposureSlack
	exposureSlack = 50
)

// exposure orders a move to a version that fails a part of its requests on one route, and counts what reaches it until
// the deadline.
func exposure(f *fleet, trouble bool) (int, error) {
	f.isBusy = true
	var old, newer []*engine
	failed := new(atomic.Int64)
	for i := range 3 {
		old = append(old, f.newEngine(i, "huvo11a"))
		e := f.newEngine(3+i, "huvo11a")
		e.version = "v2"
		e.fails = func(r *http.Request) bool {
			isFailure := trouble && strings.HasPrefix(r.RequestURI, "/look/") && rand.Float64() < failureShare
			if isFailure {
				failed.Add(1)
			}
			return isFailure
		}
		newer = append(newer, e)
	}
	if err := f.start(old, fmt.Sprintf(smallConfiguration, 7, "")); err != nil {
		return notRun, err
	}
	done, group, answered := make(chan struct{}), new(sync.WaitGroup), new(atomic.Int64)
	group.Add(2)
	go f.ask(http.MethodGet, "/look/2f", lookedPerS, done, group, answered)
	go f.ask(http.MethodPost, "/book/2f", bookedPerS, done, group, answered)
	defer group.Wait()
	defer close(done)
	time.Sleep(6 * time.Second)
	ordered := time.Now()
	deadline := ordered.Add(moveS * time.Second)
	if err := f.order(moveS); err != nil {
		return notRun, err
	}
	for _, e := range newer {
		if err := e.start(); err != nil {
			return notRun, err
		}
	}
	f.list(old, newer)
	f.record.add("three engines of v2 run beside those of v1")
	if f.await(time.Until(deadline), "completed") == "completed" {
		f.list(newer)
		for _, e := range old {
			e.stop()
		}
		f.record.add("the platform stops the engines of v1")
	}
	time.Sleep(time.Until(deadline))
	all, exposed := 0, 0
	for _, e := range append(old, newer...) {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.at.Before(ordered) || r.at.After(deadline) {
				continue
			}
			all++
			if e.version == "v2" {
				exposed++
			}
		}
		e.mu.Unlock()
	}
	allowed := exposureShare*float64(all) + exposureSlack
	f.record.add("from the order to its deadline %d requests reached the service and %d of them v2, which failed %d; a bad version may get %.1f", all, exposed, failed.Load(), allowed)
	if all < 300 {
		return notRun, fmt.Errorf("only %d requests reached the service", all)
	}
	if trouble && float64(exposed) > allowed {
		return broken, nil
	}
	return held, nil
}

// list makes the platform list engines.
func (f *fleet) list(groups ...[]*engine) {
	var all []*engine
	for _, g := range groups {
		all = append(all, g...)
	}
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.engines = all
}
