package forwarder

import (
	"time"

	"hyssoprudder/internal/process/registrar"
)

const (
	// startupTime is how long after its start a node usually serves, even if all
	// nodes start at once: it takes an election, a report, and loading the endpoint
	// list. After a complete power loss with a returning leader it took 0.6 s.
	startupTime = 850 * time.Millisecond
	// confirmationGap is how long a serving node usually lacks a confirmation, for
	// example during an election.
	confirmationGap = 500 * time.Millisecond
)

// unreadyRetryAfter returns the retry delay of a node that is not ready.
func (f *Forwarder) unreadyRetryAfter() time.Duration {
	since := f.config.Clock.Now().Sub(f.started)
	return f.retryAfter(max(confirmationGap, startupTime-since+confirmationGap/2))
}

const (
	// rulesWaitFraction is the fraction of the caller's time for which a call waits
	// at most for confirmed rules. A caller that has to retry loses more time than
	// that.
	rulesWaitFraction = 0.5
	// rulesTimeout bounds that wait: a node that starts together with all others
	// usually serves after 0.6 s, and one that was suspended after a few
	// milliseconds.
	rulesTimeout = 600 * time.Millisecond
	// maxRulesWaiters bounds the calls that wait for rules. Their bodies are not read
	// yet.
	maxRulesWaiters = 400
)

// waitForRules returns the rules in force, or nil, and whether they were confirmed
// recently. If they were not, the call waits for a fraction of its time.
func (x *exchange) waitForRules() (*registrar.Table, bool) {
	f := x.f
	table, confirmed := f.table.Load(), f.config.IsConfirmed()
	if table != nil && confirmed || x.call.MaxWait <= 0 {
		return table, confirmed
	}
	if f.rulesWaiters.Add(1) > maxRulesWaiters {
		f.rulesWaiters.Add(-1)
		return table, confirmed
	}
	defer f.rulesWaiters.Add(-1)
	timer := f.config.Clock.NewTimer(min(time.Duration(rulesWaitFraction*float64(x.call.MaxWait)), rulesTimeout))
	defer timer.Stop()
	for table == nil || !confirmed {
		changed := f.config.ReportAnswered()
		// Check again, since a report that was answered before the call of
		// ReportAnswered does not close the returned channel.
		if table, confirmed = f.table.Load(), f.config.IsConfirmed(); table != nil && confirmed {
			break
		}
		select {
		case <-changed:
			table, confirmed = f.table.Load(), f.config.IsConfirmed()
		case <-timer.C():
			return table, confirmed
		case <-x.ctx.Done():
			return table, confirmed
		}
	}
	return table, confirmed
}

// waitForConfirmation waits until the rules are confirmed and reports whether they are. It
// is used for a call whose endpoint was given up, which no other endpoint answers otherwise.
func (x *exchange) waitForConfirmation() bool {
	f := x.f
	timer := f.config.Clock.NewTimer(min(x.remaining()-minRemaining, rulesTimeout))
	defer timer.Stop()
	for {
		changed := f.config.ReportAnswered()
		if f.config.IsConfirmed() {
			return true
		}
		select {
		case <-changed:
		case <-timer.C():
			return f.config.IsConfirmed()
		case <-x.ctx.Done():
			return false
		}
	}
}
