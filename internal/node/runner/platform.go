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

// watcher polls the provider's instance list and reclaim notices, and updates the
// endpoint table with them.
type watcher struct {
	runner     *Runner
	client     *provisioner.Client
	lastNotice uint64
	lastRead   atomic.Int64 // when the list was last read, in nanoseconds since 1970

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
	ctx, cancel := context.WithTimeout(ctx, w.runner.settings.Limits().Poll()*pollTimeoutIntervals)
	defer cancel()
	w.pollNotices(ctx)
	list, err := w.client.Instances(ctx)
	if err != nil {
		w.runner.log.Warn("instance list not read; the previous list stays in use", "err", err)
		return
	}
	listed := make([]lister.Listed, 0, len(list.Instances))
	for _, instance := range list.Instances {
		endpoint, err := instance.Endpoint()
		if err != nil {
			w.runner.log.Warn("instance in the provider's list is invalid; skipped", "id", instance.ID, "err", err)
			continue
		}
		listed = append(listed, lister.Listed{Endpoint: endpoint, Leaving: instance.Leaving()})
	}
	w.runner.applyList(listed)
	w.lastRead.Store(w.runner.clock.Now().UnixNano())
}

// isFresh reports whether the list was read recently enough to base decisions on it.
func (w *watcher) isFresh() bool {
	age := w.runner.clock.Now().UnixNano() - w.lastRead.Load()
	return time.Duration(age) < maxListAgeIntervals*w.runner.settings.Limits().Poll()
}

// maxListAgeIntervals is the maximum age, in poll intervals, of a list that decisions are
// based on.
const maxListAgeIntervals = 5

// pollTimeoutIntervals is the timeout of one poll, in poll intervals.
const pollTimeoutIntervals = 5

// pollNotices marks the endpoints whose reclaim was announced as leaving. A notice may
// arrive twice; the second one has no effect.
func (w *watcher) pollNotices(ctx context.Context) {
	notices, err := w.client.Notices(ctx, w.lastNotice)
	if err != nil {
		w.runner.log.Warn("reclaim notices not read; they are requested again at the next poll", "err", err)
		return
	}
	w.lastNotice = provisioner.LastNumber(w.lastNotice, notices)
	for _, notice := range notices {
		w.runner.table.SetTerminatesAt(notice.ID, notice.TerminatesAt)
		w.runner.markLeaving(notice.ID, "notice")
	}
}

// applyList updates the endpoint table with the provider's list, and sends the leaving
// marks that are new to the other nodes.
func (r *Runner) applyList(list []lister.Listed) {
	marked := r.table.SetFromProvider(list, r.clock.Now())
	for _, id := range marked {
		r.log.Info("endpoint leaving", "endpoint", id, "source", "list")
		r.gossiper.MarkLeaving(id, markIncarnation)
	}
	if version := r.table.Version(); version != r.routerVersion.Swap(version) {
		r.refresh()
	}
}
