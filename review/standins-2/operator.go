package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// order orders the move to v2, as an operator does: at one node after the other, until one acknowledges it.
func (f *fleet) order(durationS int) error {
	body := fmt.Sprintf(`{"Service":"huvo11a","Target":"v2","DurationS":%d}`, durationS)
	for i := range 4 {
		m := f.cores[i%len(f.cores)]
		status, text := f.post(m, "/Rollouts.Start", body, time.Second)
		f.record.add("operator: POST /Rollouts.Start %s at %s: %d %s", body, m.name, status, text)
		if status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the order was not acknowledged")
}

// await reads the state of the move until it is the wanted one or the time is over, and returns the last one.
func (f *fleet) await(within time.Duration, wanted string) string {
	last, deadline := "", time.Now().Add(within)
	c := http.Client{Timeout: time.Second}
	for i := 0; time.Now().Before(deadline) && last != wanted; i++ {
		var state struct{ State, Target string }
		if r, err := c.Get(fmt.Sprintf("http://%s:%d/Rollouts.Get/huvo11a", f.cores[i%len(f.cores)].ip, portControl)); err == nil {
			err := json.NewDecoder(r.Body).Decode(&state)
			r.Body.Close()
			if err == nil && state.State != last {
				last = state.State
				f.record.add("operator: GET /Rollouts.Get/huvo11a: %s, target %s", state.State, state.Target)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// ask sends requests until done is closed.
func (f *fleet) ask(method, path string, perS float64, done chan struct{}, group *sync.WaitGroup, answered *atomic.Int64) {
	defer group.Done()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", f.fronts[i%len(f.fronts)].ip, portFront, path), nil)
			if err != nil {
				return
			}
			r.Host = hostName
			r.Header.Set("X-Request-Id", fmt.Sprintf("%s%015x", path[1:2], i))
			r.Header.Set("X-Request-Deadline", "2500")
			r.Header.Set("Authorization", "Bearer "+keyOne)
			if a, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		}()
	}
}
