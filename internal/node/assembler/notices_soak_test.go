package assembler_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/standin/faulter"
)

var (
	noticeSeed  = flag.Uint64("notices.seed", 1, "first seed of TestSoakOfNotices")
	noticeSeeds = flag.Uint64("notices.seeds", 1, "number of seeds of TestSoakOfNotices")
	noticeTime  = flag.Duration("notices.time", 8*time.Second, "duration of each seed of TestSoakOfNotices")
)

// drainBound is the time to drain in the settings of the nodes.
const drainBound = 3 * time.Second

// moodyEndpoint is a stand-in that leaves and asks for pauses at random, and records the
// calls that reach it in breach of that.
type moodyEndpoint struct {
	server *httptest.Server
	faults *faulter.Set

	mu           sync.Mutex
	leavingSince time.Time
	pausedUntil  time.Time
	heededAt     time.Time // when calls in the pause are no longer in flight
	calls        int
	pauses       int
	inPause      int // calls that came in this pause
	breaches     []string
}

func newMoodyEndpoint(t *testing.T, seed uint64) *moodyEndpoint {
	t.Helper()
	e := &moodyEndpoint{faults: faulter.New(seed, time.Now)}
	e.faults.Put(faulter.Fault{LeaveRate: 0.001, PauseRate: 0.005, PauseMillis: 2000})
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *moodyEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	effect := e.faults.Call("", 0)
	now := time.Now()
	e.mu.Lock()
	e.check(now)
	e.calls++
	if effect.Leave && e.leavingSince.IsZero() {
		e.leavingSince = now
	}
	if until := now.Add(effect.Pause); effect.Pause > 0 && until.After(e.pausedUntil) {
		if now.After(e.pausedUntil) {
			e.heededAt, e.inPause = now.Add(500*time.Millisecond), 0
			e.pauses++
		}
		e.pausedUntil = until
	}
	leaving := !e.leavingSince.IsZero()
	e.mu.Unlock()
	w.Header().Set("Call", r.Header.Get("Call"))
	if leaving {
		w.Header().Set("Leaving", "1")
	}
	if effect.Pause > 0 {
		w.Header().Set("Pause", effect.Pause.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "served")
}

// check records a call that must not have come. The caller holds the lock.
func (e *moodyEndpoint) check(now time.Time) {
	if !e.leavingSince.IsZero() && now.Sub(e.leavingSince) > drainBound {
		e.breaches = append(e.breaches, fmt.Sprintf("a call %s after it left", now.Sub(e.leavingSince)))
	}
	if now.After(e.heededAt) && now.Before(e.pausedUntil) {
		if e.inPause++; e.inPause > 2 {
			e.breaches = append(e.breaches, fmt.Sprintf("call %d in a pause, %s before its end", e.inPause, e.pausedUntil.Sub(now)))
		}
	}
}

// steadyCaller calls until it is told to stop.
type steadyCaller struct {
	d      *deployment
	group  *sync.WaitGroup
	stop   chan struct{}
	want   string // the answer that counts as served
	served int
	others map[string]int // other answers
}

func (c *steadyCaller) run() {
	defer c.group.Done()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		if answer := c.d.call("k1"); answer == c.want {
			c.served++
		} else {
			c.others[answer]++
		}
	}
}

// Under steady calls endpoints leave and ask for pauses at random, others take the place
// of those that left, under the same ID or another one, and the list shows all as serving
// and lacks some now and then. No call is sent in breach, and calls are served.
func TestSoakOfNotices(t *testing.T) {
	for seed := *noticeSeed; seed < *noticeSeed+*noticeSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakNotices(t, seed) })
	}
}

func soakNotices(t *testing.T, seed uint64) {
	const endpoints, callers = 4, 8
	random := rand.New(rand.NewPCG(seed, seed))
	d := newDeployment(t)
	all := make([]*moodyEndpoint, 0, endpoints)
	listed := make([]coordinator.Endpoint, endpoints)
	start := func(i int, id string) {
		e := newMoodyEndpoint(t, seed*1000+uint64(len(all)))
		all = append(all, e)
		listed[i] = endpointOf(id, "", e.server)
	}
	for i := range endpoints {
		start(i, fmt.Sprint("e", i))
	}
	d.setListed(append([]coordinator.Endpoint(nil), listed...)...)
	r := ruleset(5, "k1")
	r.Routes[0].MaxAttempts = 3
	r.Routes[0].Kind = registrar.Repeatable
	d.put(d.keepers[0], r)
	require.Eventually(t, func() bool { return d.call("k1") == "served" }, waitTimeout, 10*time.Millisecond)

	var group sync.WaitGroup
	stop := make(chan struct{})
	var steady []*steadyCaller
	for range callers {
		c := &steadyCaller{d: d, want: "served", group: &group, stop: stop, others: make(map[string]int)}
		steady = append(steady, c)
		group.Add(1)
		go c.run()
	}
	current := append([]*moodyEndpoint(nil), all...)
	for end := time.Now().Add(*noticeTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for i, e := range current {
			e.mu.Lock()
			hasLeft := !e.leavingSince.IsZero() && time.Since(e.leavingSince) > drainBound/2
			e.mu.Unlock()
			if !hasLeft || random.IntN(4) > 0 {
				continue
			}
			id := listed[i].ID // born again under the ID that it had
			if random.IntN(2) == 0 {
				id = fmt.Sprint("e", len(all))
			}
			start(i, id)
			current[i] = all[len(all)-1]
		}
		shown := append([]coordinator.Endpoint(nil), listed...)
		if random.IntN(5) == 0 {
			i := random.IntN(len(shown))
			shown = append(shown[:i], shown[i+1:]...)
		}
		d.setListed(shown...)
	}
	close(stop)
	group.Wait()
	served, others := 0, make(map[string]int)
	for _, c := range steady {
		served += c.served
		for answer, n := range c.others {
			others[answer] += n
		}
	}
	calls, pauses, left := 0, 0, 0
	for _, e := range all {
		e.mu.Lock()
		require.Empty(t, e.breaches)
		calls, pauses = calls+e.calls, pauses+e.pauses
		if !e.leavingSince.IsZero() {
			left++
		}
		e.mu.Unlock()
	}
	t.Logf("seed %d: %d served, others %v, %d calls at endpoints, %d pauses, %d of %d left", seed, served, others, calls, pauses, left, len(all))
	require.Positive(t, pauses)
	require.Greater(t, served, 100)
}
