package engine

import (
	"context"
	"fmt"
	"net/http"
)

// stream sends the tokens of one call as server-sent events (SSE).
type stream struct {
	engine     *Engine
	call       *call
	w          http.ResponseWriter
	controller *http.ResponseController
	abortAfter int // number of tokens after which the connection is aborted; 0 means never
}

func (s *stream) send(ctx context.Context) {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	_ = s.controller.Flush()
	if s.call.job.After >= s.call.job.Max {
		s.finish(Output{})
		return
	}
	for sent := 1; ; sent++ {
		select {
		case output, open := <-s.call.outputs:
			if !open || s.write(output) != nil {
				return
			}
			if output.Done {
				s.finish(output)
				return
			}
			if sent == s.abortAfter {
				panic(http.ErrAbortHandler)
			}
		case <-s.call.moved:
			s.sendMoved()
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendMoved sends the tokens generated before the KV cache of the call was exported,
// and then the moved event.
func (s *stream) sendMoved() {
	for {
		select {
		case output := <-s.call.outputs:
			_ = s.write(output)
		default:
			fmt.Fprint(s.w, "event: moved\ndata: {}\n\n")
			_ = s.controller.Flush()
			return
		}
	}
}

func (s *stream) write(output Output) error {
	if !s.engine.faults.WaitUnfrozen(s.engine.host.Done()) {
		return context.Canceled
	}
	_, err := fmt.Fprintf(s.w, "id: %d\ndata: {\"token\":%q}\n\n", output.Position+1, s.call.answer.Token(output.Position))
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *stream) finish(last Output) {
	fmt.Fprintf(s.w, "event: done\ndata: {\"count\":%d,\"cached\":%d,\"computed\":%d}\n\n", s.call.job.Max, last.Cached, last.Computed)
	_ = s.controller.Flush()
}
