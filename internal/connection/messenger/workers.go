package messenger

import "sync"

// workers runs the calls of one service on a bounded number of goroutines.
// Each service has its own, so that calls which wait for another service
// can't take the workers that this service needs.
type workers struct {
	serve func(*serverCall)
	limit int
	depth int

	mu      sync.Mutex
	active  int
	queue   []*serverCall
	stopped bool
	drained chan struct{}
}

func newWorkers(serve func(*serverCall), limit, depth int) *workers {
	return &workers{serve: serve, limit: limit, depth: depth, drained: make(chan struct{})}
}

// submit reports whether the call will be served.
func (w *workers) submit(c *serverCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return false
	case w.active < w.limit:
		w.active++
		go w.run(c)
		return true
	case len(w.queue) < w.depth:
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

// stop takes no further calls. The returned channel is closed when all have
// been served.
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
