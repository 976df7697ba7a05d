package gossiper

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/connection/messenger"
)

type netipAddrPort = netip.AddrPort

// naiveView is a reference implementation of the view: it keeps all records and
// searches them for each query.
type naiveView struct {
	records []memberRecord
	marks   []markRecord
}

func (v *naiveView) state(id string) (state State, incarnation, activeRevision uint64) {
	for _, r := range v.records {
		if r.ID == id {
			incarnation = max(incarnation, r.Incarnation)
		}
	}
	var refutation uint32
	leaving, left, suspect, dead := false, false, false, false
	for _, r := range v.records {
		if r.ID == id && r.Incarnation == incarnation {
			refutation = max(refutation, r.Refutation)
			leaving = leaving || r.Phase == phaseLeaving
			left = left || r.Phase == phaseLeft
			activeRevision = max(activeRevision, r.ActiveRevision)
		}
	}
	for _, r := range v.records {
		if r.ID == id && r.Incarnation == incarnation && r.Refutation == refutation {
			suspect = suspect || r.Level == levelSuspect
			dead = dead || r.Level == levelDead
		}
	}
	switch {
	case left:
		return Left, incarnation, activeRevision
	case dead:
		return Dead, incarnation, activeRevision
	case leaving:
		return Leaving, incarnation, activeRevision
	case suspect:
		return Suspect, incarnation, activeRevision
	}
	return Alive, incarnation, activeRevision
}

func (v *naiveView) isLeaving(endpoint string, incarnation uint64) bool {
	for _, m := range v.marks {
		if m.Endpoint == endpoint && m.Incarnation >= incarnation {
			return true
		}
	}
	return false
}

func drawRecord(t *rapid.T) memberRecord {
	return memberRecord{
		ID:             rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
		Incarnation:    rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Refutation:     rapid.Uint32Range(0, 2).Draw(t, "refutation"),
		Level:          rapid.Uint8Range(levelAlive, levelDead).Draw(t, "level"),
		Phase:          rapid.Uint8Range(phaseActive, phaseLeft).Draw(t, "phase"),
		At:             rapid.Int64Range(1_700_000_000, 1_700_000_005).Draw(t, "at"),
		ActiveRevision: rapid.Uint64Range(0, 3).Draw(t, "running"),
		Address:        addressOf(1),
	}
}

func TestViewAgreesWithNaiveView(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	from := messenger.NewSender("x", 1, addressOf(7))
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore(Settings{ID: "self", Incarnation: 1, Address: addressOf(0)}, now)
		var naive naiveView
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := drawRecord(t)
			naive.records = append(naive.records, r)
			_, err := core.Step(from, encodeMessage(header{Kind: kindGossip},
				[]item{{kind: itemMember, body: encodeRecord(r)}}), now)
			require.NoError(t, err)
			m, ok := core.Member(r.ID)
			require.True(t, ok)
			state, incarnation, activeRevision := naive.state(r.ID)
			require.Equal(t, state, m.State())
			require.Equal(t, incarnation, m.Incarnation())
			require.Equal(t, activeRevision, m.ActiveRevision())
		}
	})
}

func TestMergeRecordsDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		a.ID, b.ID, c.ID = "a", "a", "a"
		require.Equal(t, mergeRecords(a, b), mergeRecords(b, a))
		require.Equal(t, mergeRecords(a, mergeRecords(b, c)), mergeRecords(mergeRecords(a, b), c))
		require.Equal(t, mergeRecords(a, b), mergeRecords(mergeRecords(a, b), b))
	})
}

func FuzzMessage(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	r := memberRecord{ID: "a", Incarnation: 1, Address: addressOf(1)}
	f.Add(encodeMessage(header{Kind: kindPing, Target: "self"}, []item{{kind: itemMember, body: encodeRecord(r)}}))
	f.Add(encodeMessage(header{Kind: kindSync}, []item{{kind: itemSums, body: make([]byte, bucketCount*8)}}))
	f.Add(encodeMessage(header{Kind: kindProbeRequest, Target: "a", Address: addressOf(1)}, nil))
	f.Add(encodeMessage(header{Kind: kindGossip}, []item{
		{kind: itemMark, body: encodeRecord(markRecord{Endpoint: "e", Incarnation: 1, At: now.Unix()})},
		{kind: itemActiveRevision, body: encodeRecord(activeRecord{Member: 1, Number: 2})},
		{kind: itemDigest, body: encodeRecord(digestRecord{Kind: 1, Version: 1, Body: []byte("x")})},
		{kind: 99, body: []byte("from a later version")},
	}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		core := NewCore(Settings{ID: "self", Incarnation: 1, Address: addressOf(0)}, now)
		_, _ = core.Step(messenger.NewSender("x", 1, addressOf(7)), b, now)
		core.Tick(now.Add(time.Second))
	})
}
