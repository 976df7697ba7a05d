package submitter

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
)

// reportDelay is how long after the end of a window all nodes have reported their counts for
// it.
const reportDelay = 2500 * time.Millisecond

const (
	// gatherWindow is how long after a leader started all nodes have reported their counts,
	// including those that had to search for the leader.
	gatherWindow = 2500 * time.Millisecond
	// urgentWindow is the time before a window's usage is due during which a new leader no
	// longer waits for all counts.
	urgentWindow = 2 * time.Second
)

// usageReporter reports the usage of windows. The counts of a window are recorded in the log
// before they are sent, so that every retry, including those of the next leader, sends the
// same counts.
type usageReporter struct {
	*Submitter
}

func (u *usageReporter) run() {
	defer u.group.Done()
	for clock.Sleep(u.config.Clock, dutyInterval, u.quit) {
		u.report()
	}
}

// dueWindow is a window whose usage is to be reported.
type dueWindow struct {
	window int64
	counts map[string]int
	isLate bool // too late to be reported
}

func (u *usageReporter) report() {
	h, ok := u.acquire()
	if !ok {
		return
	}
	for _, d := range u.dueWindows() {
		if d.isLate || u.send(h, d) {
			u.done(d.window)
		}
	}
}

// dueWindows returns the windows whose counts are complete.
func (u *usageReporter) dueWindows() []dueWindow {
	var out []dueWindow
	u.config.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) {
		clusterTime := now.Add(core.ClusterTimeOffset(now))
		for _, w := range core.Ledger().Due(clusterTime.Add(-reportDelay)) {
			d := dueWindow{window: w, counts: core.Ledger().Sum(w)}
			d.isLate = clusterTime.Sub(accountant.End(w, u.config.Window)) > u.config.DueAfter+reportDelay
			if len(d.counts) == 0 && !d.isLate {
				continue
			}
			isUrgent := clusterTime.Sub(accountant.End(w, u.config.Window)) > u.config.DueAfter-urgentWindow
			if core.Age(now) < gatherWindow && !isUrgent {
				continue
			}
			out = append(out, d)
		}
	})
	return out
}

func (u *usageReporter) done(window int64) {
	u.config.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) { core.Ledger().Done(window) })
}

// send sends the usage of one window to the provider. It returns true if no retry is needed.
func (u *usageReporter) send(h Holder, d dueWindow) bool {
	counts, closed, err := u.record(d)
	if err != nil {
		u.config.Log.Warn("usage not recorded in the log; trying again", "window", d.window, "err", err)
		return false
	}
	if closed {
		return true
	}
	if _, ok := u.acquire(); !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(u.ctx, callTimeout)
	defer cancel()
	switch o := u.config.SendUsage(ctx, h, d.window, counts); o.Kind {
	case Done:
		u.config.Log.Info("usage reported", "window", d.window, "customers", len(counts), "fence", h.Fence)
		u.close(d.window)
		return true
	case Conflict:
		u.config.Log.Warn("usage refused; a higher fencing number was used", "window", d.window, "fence", h.Fence, "detail", o.Detail)
		return true
	default:
		u.config.Log.Warn("usage not reported; trying again", "window", d.window, "detail", o.Detail)
		return false
	}
}

func intentID(window int64) string { return fmt.Sprintf("usage-%d", window) }

// record records the counts of a window, or returns those that were recorded before.
func (u *usageReporter) record(d dueWindow) (counts map[string]int, closed bool, err error) {
	id := intentID(d.window)
	if _, ok := u.config.Intent(id); !ok {
		body, err := msgpack.Marshal(d.counts)
		if err != nil {
			return nil, false, err
		}
		ctx, cancel := context.WithTimeout(u.ctx, callTimeout)
		defer cancel()
		if _, err := u.config.Propose(ctx, applier.Command{IntentPut: &applier.IntentPut{ID: id, Body: body}}); err != nil {
			return nil, false, err
		}
	}
	intent, ok := u.config.Intent(id)
	if !ok {
		return nil, false, fmt.Errorf("intent %s is missing from the replicated state", id)
	}
	err = msgpack.Unmarshal(intent.Body, &counts)
	return counts, intent.ClosedAt != 0, err
}

func (u *usageReporter) close(window int64) {
	ctx, cancel := context.WithTimeout(u.ctx, callTimeout)
	defer cancel()
	if _, err := u.config.Propose(ctx, applier.Command{IntentClose: &applier.IntentClose{ID: intentID(window)}}); err != nil {
		// The next leader sends the same counts again, which has no effect.
		u.config.Log.Debug("usage not marked as reported", "window", window, "err", err)
	}
}
