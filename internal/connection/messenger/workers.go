package messenger

import "sync"

// workers runs the calls of one service on a bounded number of goroutines.
// Each service has its own workers, so that calls of one service that wait for
// another service can't use up the workers of that other service.
type workers struct {
	serve     func(*serverCall)
	maxActive int
	maxQueue  int

	mu      sync.Mutex
	active  int
	queue   []*serverCall
	stopped bool
	drained chan struct{}
}

func newWorkers(serve func(*serverCall), limit, depth int) *workers {
	return &workers{serve: serve, maxActive: limit, maxQueue: depth, drained: make(chan struct{})}
}

// submit starts or queues a call. It reports false if the queue is full or the
// workers are stopped; the call is then not run.
func (w *workers) submit(c *serverCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return false
	case w.active < w.maxActive:
		w.active++
		go w.run(c)
		return true
	case len(w.queue) < w.maxQueue:
		w.queue = append(w.queue, c)
		return true
	default:
		return false
	}
}

// run serves calls until none is queued.
func (w *workers) run(c *serverCall) {
	for c != nil {
		w.serve(c)
		c = w.next()
	}
}

func (w *workers) next() *serverCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		c := w.queue[0]
		w.queue[0] = nil
		w.queue = w.queue[1:]
		return c
	}
	w.active--
	if w.stopped && w.active == 0 {
		close(w.drained)
	}
	return nil
}

// stop refuses further calls. The returned channel is closed when all accepted
// calls have been served.
func (w *workers) stop() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		if w.active == 0 {
			close(w.drained)
		}
	}
	return w.drained
}
