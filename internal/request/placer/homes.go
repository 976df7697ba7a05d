package placer

import (
	"math/rand/v2"
)

// homes ranks endpoints for a prompt by rendezvous hashing of its shared parts,
// so that all nodes send prompts that share parts to the same few endpoints
// without talking.
type homes struct {
	key    uint64
	shared int // tokens of the shared parts
	best   [2]*endpoint
	scores [2]uint64
}

// newHomes returns the ranking for the call. The last of several parts is the
// call's own.
func newHomes(ask *Ask) *homes {
	h := &homes{}
	for i, part := range ask.Parts {
		if i == len(ask.Parts)-1 && i > 0 {
			break
		}
		h.key = part.ID
		h.shared += part.Tokens
	}
	return h
}

func (h *homes) score(e *endpoint) uint64 {
	x := e.hash ^ h.key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rank finds the homes among the endpoints that take work.
func (h *homes) rank(list []*endpoint, ask *Ask) {
	if h.shared == 0 {
		return
	}
	for _, e := range list {
		if !e.fits(ask) {
			continue
		}
		switch s := h.score(e); {
		case h.best[0] == nil || s > h.scores[0]:
			h.best[1], h.scores[1] = h.best[0], h.scores[0]
			h.best[0], h.scores[0] = e, s
		case h.best[1] == nil || s > h.scores[1]:
			h.best[1], h.scores[1] = e, s
		}
	}
}

func (h *homes) isHome(e *endpoint) bool { return h.best[0] == e }

// candidates returns the endpoints that are weighed: all of a small service,
// else the homes of the prompt and a random few.
func (p *Placer) candidates(ask *Ask, h *homes) []*endpoint {
	list := p.services[ask.Service]
	h.rank(list, ask)
	if len(list) <= narrowFrom {
		return list
	}
	out := make([]*endpoint, 0, 2*narrowTo+len(h.best))
	for _, e := range h.best {
		if e != nil {
			out = append(out, e)
		}
	}
	for range 2 * narrowTo {
		out = append(out, list[rand.IntN(len(list))])
	}
	return out
}
