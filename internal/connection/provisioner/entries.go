package provisioner

import (
	"encoding/json"
	"slices"

	"hyssoprudder/internal/connection/splitter"
	"hyssoprudder/internal/process/lister"
)

const (
	// maxText limits the strings of an entry, in bytes; nodes send them to each other.
	maxText = 256
	// maxNoticeStep is how far the number of a notice may be ahead of the one before it. A number further ahead was
	// not given by the provider.
	maxNoticeStep = 1 << 20
)

// decodeEntries decodes the entries that can be read and used.
func decodeEntries[T any](entries []json.RawMessage, isUsable func(T) bool) []T {
	var out []T
	for _, raw := range entries {
		var entry T
		if splitter.Decode(raw, &entry) && isUsable(entry) {
			out = append(out, entry)
		}
	}
	return out
}

func (i Instance) isUsable() bool {
	return i.ID != "" && i.Price >= 0 && areShort(i.ID, i.Address, i.Domain, i.Class, string(i.Market), i.Service, i.Version, i.State)
}

func (n Notice) isUsable() bool { return n.ID != "" && areShort(n.ID) }

func (c Class) isUsable() bool {
	return c.Class != "" && c.Domain != "" && (c.Market == lister.Reclaimable || c.Market == lister.OnDemand) && c.Price >= 0 && areShort(c.Class, c.Domain)
}

func areShort(texts ...string) bool {
	return !slices.ContainsFunc(texts, func(text string) bool { return len(text) > maxText })
}

// LastNumber returns the number after which notices are to be requested next, given the one after which these were
// requested, 0 for the first request. A number far ahead does not count, since all notices up to it would be missed.
func LastNumber(after uint64, notices []Notice) uint64 {
	numbers := make([]uint64, 0, len(notices))
	for _, n := range notices {
		numbers = append(numbers, n.Seq)
	}
	slices.Sort(numbers)
	if after == 0 && len(numbers) > 0 {
		after = numbers[0]
	}
	for _, n := range numbers {
		if n > after && n-after > maxNoticeStep {
			break
		}
		after = max(after, n)
	}
	return after
}
