package engine

import (
	"context"
	"fmt"
	"net/http"
)

// stream sends the tokens of one call as server-sent events.
type stream struct {
	engine *Engine
	call   *call
	out    http.ResponseWriter
	flush  *http.ResponseController
	cut    int // tokens after which the connection is lost; 0: never
}

func (s *stream) send(ctx context.Context) {
	s.out.Header().Set("Content-Type", "text/event-stream")
	s.out.WriteHeader(http.StatusOK)
	_ = s.flush.Flush()
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
			if sent == s.cut {
				panic(http.ErrAbortHandler)
			}
		case <-s.call.moved:
			s.drain()
			return
		case <-ctx.Done():
			return
		}
	}
}

// drain sends what was generated before the call was moved.
func (s *stream) drain() {
	for {
		select {
		case output := <-s.call.outputs:
			_ = s.write(output)
		default:
			fmt.Fprint(s.out, "event: moved\ndata: {}\n\n")
			_ = s.flush.Flush()
			return
		}
	}
}

func (s *stream) write(output Output) error {
	if !s.engine.faults.Thaw(s.engine.host.Dead()) {
		return context.Canceled
	}
	_, err := fmt.Fprintf(s.out, "id: %d\ndata: {\"token\":%q}\n\n", output.Position+1, s.call.answer.Token(output.Position))
	if err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *stream) finish(last Output) {
	fmt.Fprintf(s.out, "event: done\ndata: {\"count\":%d,\"cached\":%d,\"computed\":%d}\n\n", s.call.job.Max, last.Cached, last.Computed)
	_ = s.flush.Flush()
}
