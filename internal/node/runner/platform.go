package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
)

// watcher polls the platform's list and notices, and marks leaving endpoints
// in the table.
type watcher struct {
	runner *Runner
	client *provisioner.Client
	after  uint64
	read   atomic.Int64 // when the list was last read, in nanoseconds since 1970

	cancel context.CancelFunc
	group  sync.WaitGroup
}

func (w *watcher) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.group.Add(1)
	go w.run(ctx)
}

func (w *watcher) stop() {
	w.cancel()
	w.group.Wait()
	w.client.Close()
}

func (w *watcher) run(ctx context.Context) {
	defer w.group.Done()
	for {
		w.poll(ctx)
		if !clock.Sleep(w.runner.clock, w.runner.settings.Limits().Poll(), ctx.Done()) {
			return
		}
	}
}

func (w *watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.runner.settings.Limits().Poll()*pollPatience)
	defer cancel()
	w.pollNotices(ctx)
	list, err := w.client.Instances(ctx)
	if err != nil {
		w.runner.log.Warn("platform list kept", "err", err)
		return
	}
	listed := make([]lister.Listed, 0, len(list.Instances))
	for _, instance := range list.Instances {
		endpoint, err := instance.Endpoint()
		if err != nil {
			w.runner.log.Warn("instance passed over", "id", instance.ID, "err", err)
			continue
		}
		listed = append(listed, lister.Listed{Endpoint: endpoint, Leaving: instance.Leaving()})
	}
	w.runner.listed(listed)
	w.read.Store(w.runner.clock.Now().UnixNano())
}

// isFresh reports whether the list was read a short while ago.
func (w *watcher) isFresh() bool {
	age := w.runner.clock.Now().UnixNano() - w.read.Load()
	return time.Duration(age) < freshPolls*w.runner.settings.Limits().Poll()
}

// freshPolls is how old the list may be to decide by it, in poll intervals.
const freshPolls = 5

// pollPatience bounds one poll, in poll intervals.
const pollPatience = 5

// pollNotices marks the endpoints whose reclaim was announced. A notice may
// come twice; the second one is no news.
func (w *watcher) pollNotices(ctx context.Context) {
	notices, err := w.client.Notices(ctx, w.after)
	if err != nil {
		w.runner.log.Warn("notices not read", "err", err)
		return
	}
	for _, notice := range notices {
		w.after = max(w.after, notice.Seq)
		w.runner.table.SetTerminationTime(notice.ID, notice.Until)
		w.runner.leave(notice.ID, "notice")
	}
}

// listed takes the platform's list over and spreads the marks that are new.
func (r *Runner) listed(list []lister.Listed) {
	marked := r.table.SetFromProvider(list, r.clock.Now())
	for _, id := range marked {
		r.log.Info("endpoint leaving", "endpoint", id, "source", "list")
		r.gossiper.MarkLeaving(id, markIncarnation)
	}
	if version := r.table.Version(); version != r.seen.Swap(version) {
		r.refresh()
	}
}
