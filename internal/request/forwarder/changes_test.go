package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// change is one change of the rules of an entry, or of what the leader sends to it.
type change struct {
	pause time.Duration // after the change
	apply func(f *fixture)
}

// scenario is a sequence of changes and calls.
type scenario struct {
	changes []change
	calls   []scheduledCall
}

// scheduledCall is one call, with the time for which its endpoint is silent before and within
// the answer.
type scheduledCall struct {
	after   time.Duration
	path    string
	key     string
	silence time.Duration
}

var changeGenerator = rapid.Custom(func(t *rapid.T) change {
	c := change{pause: time.Duration(rapid.IntRange(0, 25).Draw(t, "pause")) * time.Millisecond}
	draw := rapid.IntRange(0, 9).Draw(t, "value")
	c.apply = map[int]func(f *fixture){
		0: func(f *fixture) { f.setRules(nil) },
		1: func(f *fixture) { f.setRules(func(r *registrar.Ruleset) { r.Routes = r.Routes[draw%len(r.Routes):] }) },
		2: func(f *fixture) { f.setRules(func(r *registrar.Ruleset) { r.Customers = nil }) },
		3: func(f *fixture) { f.setRules(func(r *registrar.Ruleset) { r.Customers[0].Rate = float64(draw % 3) }) },
		4: func(f *fixture) {
			f.setRules(func(r *registrar.Ruleset) {
				r.Services = []registrar.Service{{Name: "other"}}
				for i := range r.Routes {
					r.Routes[i].Shares[0].Service = "other"
				}
			})
		},
		5: func(f *fixture) {
			f.confirm(false)
			time.AfterFunc(time.Duration(30*draw)*time.Millisecond, func() { f.confirm(true) })
		},
		6: func(f *fixture) { f.forwarder.SetTable(nil); f.notifyChange() },
		7: func(f *fixture) {
			now := time.Now()
			f.quotas.SetAllowances(uint64(draw), map[string]float64{"masons": float64(3 * (draw % 4))}, now.Add(time.Duration(draw*20)*time.Millisecond))
			f.notifyChange()
		},
		8: func(f *fixture) {
			list := append([]placer.Endpoint(nil), f.endpoints...)
			list[0].Leaving, list[1].Leaving = draw%2 == 0, draw%3 == 0
			f.placer.SetEndpoints(list[:2-draw%2])
		},
		9: func(f *fixture) {
			f.locked(func() { f.version = forwarder.Version{Unwanted: map[bool][]string{true: {"2"}}[draw%2 == 0]} })
		},
	}[rapid.IntRange(0, 9).Draw(t, "change")]
	return c
})

var scenarioGenerator = rapid.Custom(func(t *rapid.T) scenario {
	return scenario{
		changes: rapid.SliceOfN(changeGenerator, 20, 60).Draw(t, "changes"),
		calls: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduledCall {
			return scheduledCall{
				after:   time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
				path:    rapid.SampledFrom([]string{"/safe/1", "/once/1", "/stream/1", "/resumable/1", "/open/1"}).Draw(t, "path"),
				key:     rapid.SampledFrom([]string{"k1", "k1", "k1", "k9", ""}).Draw(t, "key"),
				silence: time.Duration(rapid.SampledFrom([]int{0, 0, 5, 50, 450}).Draw(t, "silence")) * time.Millisecond,
			}
		}), 10, 40).Draw(t, "calls"),
	}
})

// setRules puts rules in force as an entry does: first the limits, then the table.
func (f *fixture) setRules(edit func(*registrar.Ruleset)) {
	r := rules()
	for i := range r.Routes {
		r.Routes[i].Timeout = f.maxWait
	}
	if edit != nil {
		edit(r)
	}
	rates := make(map[string]float64)
	for _, c := range r.Customers {
		if c.Rate > 0 {
			rates[c.Name] = c.Rate
		}
	}
	f.quotas.SetRates(rates)
	f.forwarder.SetTable(registrar.NewTable(r))
	f.notifyChange()
}

// confirm sets whether the rules are confirmed.
func (f *fixture) confirm(is bool) {
	f.locked(func() { f.confirmed = is })
	f.notifyChange()
}

// answerSilently returns a function that gives a complete answer, with pauses that the call
// states.
func answerSilently(ran *sync.Map) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		ran.Store(r.Header.Get(headerID), true)
		pause, err := time.ParseDuration(r.Header.Get("Pause"))
		if err != nil {
			return false
		}
		time.Sleep(pause)
		if !strings.HasPrefix(r.URL.Path, "/stream") && !strings.HasPrefix(r.URL.Path, "/resumable") {
			return answerWith(http.StatusOK, "ok")(c, r, "")
		}
		from := 0
		_, _ = fmt.Sscan(r.Header.Get(headerAfter), &from)
		writeRaw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", headerOf(r.Header.Get(headerID), ""))
		for i := from + 1; i <= 5; i++ {
			if i == 3 {
				time.Sleep(pause)
			}
			writeChunk(c, eventText(i, i))
		}
		writeRaw(c, "0\n\n")
		return true
	}
}

// Whatever changes of rules, limits, confirmations, versions and endpoints a call meets,
// it must get exactly one complete answer, or a refusal if it reached no endpoint.
func TestCallsAreAnsweredWhileRulesChange(t *testing.T) {
	for seed := range 40 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := scenarioGenerator.Example(seed)
			var ran sync.Map
			f := newFixture(t, newEndpoint(t, answerSilently(&ran)), newEndpoint(t, answerSilently(&ran)))
			f.endpoints[1].Version = "2"
			f.placer.SetEndpoints(f.endpoints)
			f.maxWait = time.Minute
			f.setRules(nil)
			var group sync.WaitGroup
			callers := make([]*changingCaller, len(s.calls))
			for i, call := range s.calls {
				callers[i] = &changingCaller{url: f.server.URL, id: fmt.Sprintf("c%d", i), call: call, group: &group}
				group.Add(1)
				go callers[i].run()
			}
			for _, c := range s.changes {
				c.apply(f)
				time.Sleep(c.pause)
			}
			group.Wait()
			f.locked(func() {
				for _, r := range f.results {
					if r.Refusal == forwarder.Unknown || r.Refusal == forwarder.TimedOut {
						t.Logf("%+v", r)
					}
				}
			})
			for _, c := range callers {
				c.requireAnswer(t, &ran)
			}
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.results) == len(callers)
			}, 10*time.Second, time.Millisecond)
			f.placer.SetEndpoints(f.endpoints)
			for _, load := range f.placer.Loads() {
				require.Equal(t, placer.Load{}, load)
			}
		})
	}
}

type changingCaller struct {
	url   string
	id    string
	call  scheduledCall
	group *sync.WaitGroup
	got   reply
}

func (c *changingCaller) run() {
	defer c.group.Done()
	time.Sleep(c.call.after)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.url+c.call.path, strings.NewReader("body"))
	if err != nil {
		c.got = reply{err: err}
		return
	}
	r.Header.Set(headerID, c.id)
	r.Header.Set("Pause", c.call.silence.String())
	if c.call.key != "" {
		r.Header.Set("Key", c.call.key)
	}
	response, err := callers.Do(r)
	if err != nil {
		c.got = reply{err: err}
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.got = reply{status: response.StatusCode, refusal: response.Header.Get("Refusal"), body: string(body), err: err}
}

// requireAnswer requires a complete answer or a refusal that is true.
func (c *changingCaller) requireAnswer(t *testing.T, ran *sync.Map) {
	t.Helper()
	require.NoError(t, c.got.err, "%s %s", c.id, c.call.path)
	if c.got.refusal == "" {
		want := "ok"
		if c.call.path == "/stream/1" || c.call.path == "/resumable/1" {
			want = eventText(1, 5)
		}
		require.Equal(t, http.StatusOK, c.got.status)
		require.Equal(t, want, c.got.body)
		return
	}
	_, hasRun := ran.Load(c.id)
	require.False(t, hasRun, "%s %s reached a sound endpoint and was refused: %q", c.id, c.call.path, c.got.refusal)
}
