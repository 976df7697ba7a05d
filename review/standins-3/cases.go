package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const limitsJSON = `"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`

func routeJSON(name, prefix, kind string, timeout, objective int) string {
	return fmt.Sprintf(`{"Name":%q,"Host":"desk.example","PathPrefix":%q,"Kind":%q,"TimeoutMs":%d,"TargetLatencyMs":%d,"Priority":0,"Service":"desk","MaxAttempts":1,"AllowAnonymous":true,"GapTargetMs":600}`,
		name, prefix, kind, timeout, objective)
}

func documentJSON(version int, routes string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"desk","HealthCheckPath":"/health","MaxConnections":400}],%s}`, version, routes, limitsJSON)
}

// runMove plays a move of the service to v2 under load, and something during it.
func runMove(d *deployment, duration time.Duration, loads map[string]float64, deadline time.Duration, during func(ordered time.Time)) (bool, error) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for path, rate := range loads {
		group.Add(1)
		go d.load(path, rate, deadline, done, &group)
	}
	time.Sleep(3 * time.Second)
	ordered, err := d.roll(duration)
	if err == nil {
		group.Add(1)
		go d.watch(done, &group)
		if during != nil {
			during(ordered)
		}
		time.Sleep(time.Until(ordered.Add(duration + 8*time.Second)))
	}
	close(done)
	group.Wait()
	if err != nil {
		return false, err
	}
	if len(d.arrivals) < 200 {
		return false, fmt.Errorf("only %d requests reached the servers", len(d.arrivals))
	}
	return d.exposure(ordered, duration), nil
}

// slowStreams: v2 is four times slower. Its streams begin in time, and none ends within its route's time.
func slowStreams(record string, trouble bool) (bool, error) {
	d, err := newDeployment(record, "desk", documentJSON(1, routeJSON("review", "/review/", "streaming", 3000, 800)))
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	d.answer = func(w http.ResponseWriter, r *http.Request, version string) bool {
		step := 100 * time.Millisecond
		if version == "v2" && trouble {
			step *= 4
		}
		return stream(w, r, 10, step)
	}
	return runMove(d, 40*time.Second, map[string]float64{"/review/1": 60}, 5*time.Second, nil)
}

// oneWay is how long bytes take between a front and a server of another zone (large/LATER.md).
const oneWay = 1400 * time.Microsecond

// stream sends events as an engine does: it looks at the deadline and at its connection at each step of its work. It
// reports whether the stream ended whole.
func stream(w http.ResponseWriter, r *http.Request, events int, gap time.Duration) bool {
	const step = 6 * time.Millisecond
	time.Sleep(oneWay)
	ms, _ := strconv.ParseInt(r.Header.Get("X-Request-Deadline"), 10, 64)
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		for next := time.Now().Add(gap); time.Now().Before(next); time.Sleep(step) {
			if r.Context().Err() != nil {
				return false
			}
			if time.Now().After(deadline) {
				time.Sleep(oneWay)
				if i > 1 {
					panicAbort(w)
				} else {
					w.WriteHeader(http.StatusGatewayTimeout)
				}
				return false
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// panicAbort breaks a stream off: the connection ends without the end of the answer.
func panicAbort(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}

// newRoute: a route is added to the service while its version is being changed, and v2 fails on that route.
func newRoute(record string, trouble bool) (bool, error) {
	first := routeJSON("status", "/status/", "safe", 2500, 150)
	both := first + "," + routeJSON("booking", "/booking/", "unsafe", 2500, 150)
	document := documentJSON(1, both)
	if trouble {
		document = documentJSON(1, first)
	}
	d, err := newDeployment(record, "desk", document)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	d.answer = func(w http.ResponseWriter, r *http.Request, version string) bool {
		time.Sleep(15 * time.Millisecond)
		if version == "v2" && r.URL.Path == "/booking/1" {
			w.WriteHeader(http.StatusInternalServerError)
			return false
		}
		_, _ = io.WriteString(w, "done\n")
		return true
	}
	var later sync.WaitGroup
	done := make(chan struct{})
	loads := map[string]float64{"/status/1": 30}
	if !trouble {
		loads["/booking/1"] = 30
	}
	isBroken, err := runMove(d, 20*time.Second, loads, 2500*time.Millisecond, func(ordered time.Time) {
		if !trouble {
			return
		}
		time.Sleep(time.Until(ordered.Add(2 * time.Second)))
		if !d.operate(documentJSON(2, both), time.Now().Add(10*time.Second)) {
			d.record.line("operator: the configuration was not acknowledged")
		}
		time.Sleep(500 * time.Millisecond)
		later.Add(1)
		go d.load("/booking/1", 30, 2500*time.Millisecond, done, &later)
		time.Sleep(time.Until(ordered.Add(27 * time.Second)))
		close(done)
		later.Wait()
	})
	return isBroken, err
}

// underLoad: v2 fails two requests in five while it gets more than half of the traffic, and none before.
func underLoad(record string, trouble bool) (bool, error) {
	d, err := newDeployment(record, "desk", documentJSON(1, routeJSON("booking", "/booking/", "unsafe", 2500, 150)))
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var recent []time.Time
	count := 0
	d.answer = func(w http.ResponseWriter, r *http.Request, version string) bool {
		time.Sleep(15 * time.Millisecond)
		isFailing := false
		if version == "v2" && trouble {
			mu.Lock()
			now := time.Now()
			recent = append(recent, now)
			for now.Sub(recent[0]) > time.Second {
				recent = recent[1:]
			}
			if len(recent) > 6 {
				count++
				isFailing = count%5 == 1 || count%5 == 3
			}
			mu.Unlock()
		}
		if isFailing {
			w.WriteHeader(http.StatusInternalServerError)
			return false
		}
		_, _ = io.WriteString(w, "done\n")
		return true
	}
	return runMove(d, 20*time.Second, map[string]float64{"/booking/1": 12}, 2500*time.Millisecond, nil)
}

// firstStart: the process of one seed is killed while the whole system starts for the first time.
func firstStart(record string, trouble bool) (bool, error) {
	f, err := newFleet(record)
	if err != nil {
		return false, err
	}
	defer f.stop()
	zones := []string{"focsani", "adjud", "panciu"}
	for i := range 5 {
		f.add(fmt.Sprintf("core-%s-%d", zones[i%3], i/3+1), 11+i, zones[i%3], true)
	}
	for i := range 2 {
		f.add(fmt.Sprintf("front-%s-1", zones[i]), 31+i, zones[i], false)
	}
	if _, err := f.addServer(101, "desk"); err != nil {
		return false, err
	}
	for i, n := range f.nodes {
		if i > 0 {
			time.Sleep(40 * time.Millisecond) // all start within 0.3 s of each other
		}
		if err := n.start(true); err != nil {
			return false, err
		}
		if i == 1 && trouble {
			f.nodes[0].kill()
			f.record.line("platform: the process of %s was killed", f.nodes[0].name)
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := f.nodes[0].start(false); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	isAcknowledged := f.operate(documentJSON(1, routeJSON("status", "/status/", "safe", 2500, 150)), begun.Add(30*time.Second))
	f.record.line("first configuration acknowledged: %v, after %.1f s", isAcknowledged, time.Since(begun).Seconds())
	served, sent := 0, 0
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	for i := range 40 {
		n := f.fronts()[i%2]
		r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/status/1", n.ip, portFront), nil)
		r.Host = "desk.example"
		r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", i+1))
		r.Header.Set("X-Request-Deadline", "2500")
		sent++
		outcome := "no answer"
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			outcome = response.Status
			if response.StatusCode == http.StatusOK {
				served++
			}
		}
		f.record.line("client: %016x at %s: %s", i+1, n.name, outcome)
	}
	f.record.line("served %d of %d requests", served, sent)
	isRead := f.readBack(6 * time.Second) // twice ContactMs
	f.record.line("configuration read back: %v", isRead)
	fmt.Printf("first configuration acknowledged: %v; served %d of %d requests; configuration read back: %v\n", isAcknowledged, served, sent, isRead)
	return !isRead, nil
}

var cases = map[string]func(record string, trouble bool) (bool, error){
	"slow-streams": slowStreams, "new-route": newRoute, "first-start": firstStart, "under-load": underLoad, "quota-leaders": quotaLeaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stopAll()
		os.Exit(2)
	}()
	isBroken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case isBroken:
		os.Exit(1)
	}
}
