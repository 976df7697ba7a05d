package retriever

import "hyssoprudder/internal/process/coordinator"

const (
	// maxPageBytes is the size of the pages requested at first. A page delays other messages on the connection,
	// such as the answers to reports, by the time that it takes on the node's link.
	maxPageBytes = 64 << 10
	// minPageBytes is the smallest size of pages that is requested on a slow link.
	minPageBytes = 4 << 10
)

// transfer is the state of the retrieval of one ruleset. It is a state machine without input or output.
type transfer struct {
	number    uint64 // of the ruleset
	pageBytes int
	received  []byte
}

func newTransfer(number uint64) *transfer { return &transfer{number: number, pageBytes: maxPageBytes} }

// request returns the request for the next page.
func (t *transfer) request() coordinator.RulesetRequest {
	return coordinator.RulesetRequest{Number: t.number, Offset: len(t.received), MaxBytes: t.pageBytes}
}

// timedOut requests smaller pages from now on. What was received stays.
func (t *transfer) timedOut() { t.pageBytes = max(t.pageBytes/2, minPageBytes) }

// accept adds a page. usable is false if the keeper does not have the ruleset yet or the page does not follow
// what was received; done is true once the ruleset is complete. A keeper with a later ruleset sends its first
// page, and the transfer then continues with that ruleset.
func (t *transfer) accept(p *coordinator.RulesetPage) (usable, done bool) {
	if p.Number < t.number {
		return false, false
	}
	if p.Number > t.number {
		t.number, t.received = p.Number, nil
	}
	if p.Offset != len(t.received) || len(p.Data) == 0 {
		return false, false
	}
	t.received = append(t.received, p.Data...)
	return true, len(t.received) >= p.Size
}
