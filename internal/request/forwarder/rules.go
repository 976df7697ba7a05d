package forwarder

import (
	"time"

	"hyssoprudder/internal/process/registrar"
)

const (
	// readyAfter is how long after its start a node usually serves, also if all
	// nodes start at once: an election, a report, and a reading of the list. It
	// took 0.6 s after a loss of all power, with a leader that came back.
	readyAfter = 850 * time.Millisecond
	// unreadyTime is how long a node that serves already usually lacks a
	// confirmation, for example while a leader is elected.
	unreadyTime = 500 * time.Millisecond
)

// unreadyTime returns when a caller should come back to a node that is not ready.
func (f *Forwarder) unreadyTime() time.Duration {
	since := f.config.Clock.Now().Sub(f.started)
	return f.spread(max(unreadyTime, readyAfter-since+unreadyTime/2))
}

// unless returns a refusal by the rules, or Unready if they may have changed.
func unless(confirmed bool, refusal Refusal) Refusal {
	if confirmed {
		return refusal
	}
	return Unready
}

const (
	// rulesShare is the part of a caller's time for which a call waits at most until
	// the node knows the rules and that they are the newest. A caller that is asked
	// back loses more than that.
	rulesShare = 0.5
	// rulesTime bounds that wait: a node that starts with all others usually serves
	// after 0.6 s, and one that stood still after a few milliseconds.
	rulesTime = 600 * time.Millisecond
	// maxWaiting bounds the calls that wait so. Their bodies are not read yet.
	maxWaiting = 400
)

// rules returns the rules in force, or nil, and whether they were confirmed a short
// while ago. While they are not, the call waits for a part of its time.
func (x *exchange) rules() (*registrar.Table, bool) {
	f := x.f
	table, confirmed := f.table.Load(), f.config.IsConfirmed()
	if table != nil && confirmed || x.call.Wait <= 0 {
		return table, confirmed
	}
	if f.waiting.Add(1) > maxWaiting {
		f.waiting.Add(-1)
		return table, confirmed
	}
	defer f.waiting.Add(-1)
	timer := f.config.Clock.NewTimer(min(time.Duration(rulesShare*float64(x.call.Wait)), rulesTime))
	defer timer.Stop()
	for table == nil || !confirmed {
		answered := f.config.Await()
		// What came just before the channel was asked for closes an older one.
		if table, confirmed = f.table.Load(), f.config.IsConfirmed(); table != nil && confirmed {
			break
		}
		select {
		case <-answered:
			table, confirmed = f.table.Load(), f.config.IsConfirmed()
		case <-timer.C():
			return table, confirmed
		case <-x.ctx.Done():
			return table, confirmed
		}
	}
	return table, confirmed
}
