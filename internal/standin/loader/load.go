package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
)

const (
	idlePerEntry = 512
	readyPeriod  = 100 * time.Millisecond
	readyTimeout = time.Second
)

// Load is one run of a load.
type Load struct {
	settings Settings
	clock    clock.Clock
	client   *http.Client
	balancer *balancer
	running  sync.WaitGroup
	counted  time.Time // requests before it are not in the summary

	mu      sync.Mutex
	results []Result
	summary *recorder
}

// Run puts the load on and returns its summary when all requests have ended.
func Run(ctx context.Context, s Settings, c clock.Clock) (*Summary, []Result, error) {
	if err := Check(s); err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	l := &Load{settings: s, clock: c, client: &http.Client{Transport: transport}, summary: newRecorder(s)}
	l.balancer = newBalancer(s, l.client, c)
	defer l.balancer.stop()
	start := c.Now()
	l.counted = start.Add(s.Warm)
	sched := newSchedule(s)
	for {
		o, ok := sched.next()
		if !ok || !clock.Sleep(c, o.at-c.Now().Sub(start), ctx.Done()) {
			break
		}
		l.send(ctx, o)
	}
	l.running.Wait()
	took := min(c.Now().Sub(start), s.Duration) - s.Warm
	return l.summary.finish(took), l.results, nil
}

func (l *Load) send(ctx context.Context, o order) {
	first := &caller{load: l, order: o, done: make(chan struct{})}
	l.running.Add(1)
	if !o.twin && !o.resend {
		go first.run(ctx)
		return
	}
	second := o
	second.entry++
	l.running.Add(2)
	go (&pair{first: first, second: &caller{load: l, order: second, done: make(chan struct{})}, atOnce: o.twin}).run(ctx)
}

// pair sends one request twice with the same key, at once or one after the other.
type pair struct {
	first, second *caller
	atOnce        bool
}

func (p *pair) run(ctx context.Context) {
	load := p.first.load
	defer load.running.Done()
	if p.atOnce {
		go p.first.run(ctx)
		p.second.run(ctx)
		<-p.first.done
	} else {
		p.first.run(ctx)
		p.second.run(ctx)
	}
	if p.first.result.Outcome == Whole && p.second.result.Outcome == Whole && p.first.body != p.second.body {
		load.mu.Lock()
		load.summary.differed++
		load.mu.Unlock()
	}
}

func (l *Load) collect(r *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.At.Before(l.counted) {
		l.summary.add(r)
	}
	kept := *r
	kept.gaps = nil
	l.results = append(l.results, kept)
}

// balancer stands for the platform's balancer: it gives requests to entries that
// report ready.
type balancer struct {
	entries []string
	path    string
	client  *http.Client
	clock   clock.Clock
	done    chan struct{}
	ended   sync.WaitGroup

	mu    sync.Mutex
	ready []string
}

func newBalancer(s Settings, client *http.Client, c clock.Clock) *balancer {
	b := &balancer{entries: s.Entries, ready: s.Entries, path: s.Ready, client: client, clock: c, done: make(chan struct{})}
	if b.path != "" {
		b.probe()
		b.ended.Add(1)
		go b.loop()
	}
	return b
}

func (b *balancer) loop() {
	defer b.ended.Done()
	for clock.Sleep(b.clock, readyPeriod, b.done) {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+b.path, http.NoBody)
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
