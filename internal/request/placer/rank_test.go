package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/placer"
)

// Guards against urgent calls that are refused because of queued work of less urgent calls,
// which endpoints process later, and against less urgent calls that expect to overtake.
func TestQueueCountsCallsUpToThePriority(t *testing.T) {
	load := placer.Load{InFlight: 9, Waiting: 9, PendingPrefill: 60000, PendingFirst: 6000, PendingSecond: 24000, KVTokens: 60000}
	tests := map[string]struct {
		priority int
		peers    placer.Load
		ahead    int // pending tokens that the call waits for
	}{
		"most urgent":                         {0, load, 6000 + 4096},
		"second":                              {1, load, 30000 + 4096},
		"least urgent":                        {2, load, 60000},
		"beyond the last":                     {7, load, 60000},
		"less urgent work below a chunk":      {1, placer.Load{InFlight: 1, PendingPrefill: 1000, PendingSecond: 500}, 1000},
		"all of one priority, as in the past": {0, placer.Load{InFlight: 1, PendingPrefill: 9000, PendingFirst: 9000}, 9000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := placer.New()
			p.SetEndpoints(newEndpoints(1, 64))
			p.SetPeerLoads(map[int]placer.Load{0: test.peers}, start)
			req := &placer.Request{Service: "desk", Domain: "a", Prompt: 3000, KVSize: 300000, MaxFirst: time.Minute, MaxQueueTime: time.Minute, Priority: test.priority, Now: start}
			c, refusal, _ := p.Place(req)
			require.Equal(t, placer.RefusedNone, refusal)
			// An endpoint that was not measured is assumed to process 30 tokens per millisecond.
			require.InDelta(t, float64(test.ahead+3000)/30, float64(c.Predicted())/float64(time.Millisecond), 0.01)
			p.End(c, placer.Answered, start)
			require.Empty(t, p.Loads(), "the load of an ended call remains")
		})
	}
}

// Guards against urgent calls that all go to the endpoint with the most queued work of less
// urgent calls, which they delay there.
func TestUrgentCallsPreferEndpointsWithLittleQueuedWork(t *testing.T) {
	p := placer.New()
	p.SetEndpoints(newEndpoints(2, 64))
	p.SetPeerLoads(map[int]placer.Load{0: {InFlight: 9, PendingPrefill: 50000}, 1: {InFlight: 9, PendingPrefill: 5000}}, start)
	c, refusal, _ := p.Place(&placer.Request{Service: "desk", Domain: "a", Prompt: 700, KVSize: 300000, MaxFirst: time.Minute, MaxQueueTime: time.Minute, Now: start})
	require.Equal(t, placer.RefusedNone, refusal)
	require.Equal(t, "e1", c.Endpoint().ID)
}
