package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
)

const (
	maxIdlePerEntry = 512 // idle connections
	readyInterval   = 100 * time.Millisecond
	readyTimeout    = time.Second
)

// Load is one run of a load.
type Load struct {
	settings  Settings
	clock     clock.Clock
	client    *http.Client
	balancer  *balancer
	inFlight  sync.WaitGroup
	countFrom time.Time // end of the warm-up; earlier requests are not in the summary

	mu       sync.Mutex
	results  []Result
	recorder *summaryRecorder
}

// Run runs the load and returns its summary and results when all requests have
// ended.
func Run(ctx context.Context, s Settings, c clock.Clock) (*Summary, []Result, error) {
	if err := Check(s); err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	l := &Load{settings: s, clock: c, client: &http.Client{Transport: transport}, recorder: newRecorder(s)}
	l.balancer = newBalancer(s, l.client, c)
	defer l.balancer.stop()
	start := c.Now()
	l.countFrom = start.Add(s.WarmUp)
	sched := newSchedule(s)
	for {
		a, ok := sched.next()
		if !ok || !clock.Sleep(c, a.at-c.Now().Sub(start), ctx.Done()) {
			break
		}
		l.send(ctx, a)
	}
	l.inFlight.Wait()
	duration := min(c.Now().Sub(start), s.Duration) - s.WarmUp
	return l.recorder.finish(duration), l.results, nil
}

func (l *Load) send(ctx context.Context, a arrival) {
	first := &caller{load: l, arrival: a, ended: make(chan struct{})}
	l.inFlight.Add(1)
	if !a.duplicate && !a.resend {
		go first.run(ctx)
		return
	}
	second := a
	second.entryIndex++
	l.inFlight.Add(2)
	go (&pair{first: first, second: &caller{load: l, arrival: second, ended: make(chan struct{})}, concurrent: a.duplicate}).run(ctx)
}

// pair sends one request twice with the same key, concurrently or one after the
// other.
type pair struct {
	first, second *caller
	concurrent    bool
}

func (p *pair) run(ctx context.Context) {
	load := p.first.load
	defer load.inFlight.Done()
	if p.concurrent {
		go p.first.run(ctx)
		p.second.run(ctx)
		<-p.first.ended
	} else {
		p.first.run(ctx)
		p.second.run(ctx)
	}
	if p.first.result.Outcome == Complete && p.second.result.Outcome == Complete && p.first.responseBody != p.second.responseBody {
		load.mu.Lock()
		load.recorder.differed++
		load.mu.Unlock()
	}
}

func (l *Load) collect(r *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.At.Before(l.countFrom) {
		l.recorder.add(r)
	}
	logged := *r
	logged.gaps = nil
	l.results = append(l.results, logged)
}

// balancer simulates the load balancer of the platform, which routes requests to
// the entries that report ready. If none does, it uses all entries.
type balancer struct {
	entries   []string
	readyPath string
	client    *http.Client
	clock     clock.Clock
	done      chan struct{}
	ended     sync.WaitGroup

	mu    sync.Mutex
	ready []string
}

func newBalancer(s Settings, client *http.Client, c clock.Clock) *balancer {
	b := &balancer{entries: s.Entries, ready: s.Entries, readyPath: s.ReadyPath, client: client, clock: c, done: make(chan struct{})}
	if b.readyPath != "" {
		b.probe()
		b.ended.Add(1)
		go b.loop()
	}
	return b
}

func (b *balancer) loop() {
	defer b.ended.Done()
	for clock.Sleep(b.clock, readyInterval, b.done) {
		b.probe()
	}
}

func (b *balancer) probe() {
	var ready []string
	for _, entry := range b.entries {
		if b.isReady(entry) {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		ready = b.entries
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) isReady(entry string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+b.readyPath, http.NoBody)
	if err != nil {
		return false
	}
	answer, err := b.client.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (b *balancer) pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[n%len(b.ready)]
}

func (b *balancer) stop() {
	close(b.done)
	b.ended.Wait()
}
