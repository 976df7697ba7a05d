package placer

// affinity ranks endpoints for a prompt by rendezvous hashing of its shared blocks,
// so that all nodes send prompts with the same blocks to the same few endpoints
// without coordination.
type affinity struct {
	key          uint64
	sharedTokens int // tokens in the shared blocks
	best         [2]*endpoint
	scores       [2]uint64
}

// newAffinity returns an empty ranking for the call. If the prompt has several
// blocks, the last one is specific to the call and not shared.
func newAffinity(req *Request) *affinity {
	a := &affinity{}
	for i, block := range req.Blocks {
		if i == len(req.Blocks)-1 && i > 0 {
			break
		}
		a.key = block.ID
		a.sharedTokens += block.Tokens
	}
	return a
}

func (a *affinity) score(e *endpoint) uint64 {
	x := e.hash ^ a.key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rank finds the two eligible endpoints with the highest scores.
func (a *affinity) rank(p *Placer, list []*endpoint, req *Request) {
	if a.sharedTokens == 0 {
		return
	}
	for _, e := range list {
		s := a.score(e)
		// The score is cheaper than the check, and rules out most endpoints.
		if a.best[1] != nil && s <= a.scores[1] || !e.isOpen(req.Boot) || !e.isEligible(req) || e.notice != nil && !p.isWilling(e.notice, req) {
			continue
		}
		switch {
		case a.best[0] == nil || s > a.scores[0]:
			a.best[1], a.scores[1] = a.best[0], a.scores[0]
			a.best[0], a.scores[0] = e, s
		case a.best[1] == nil || s > a.scores[1]:
			a.best[1], a.scores[1] = e, s
		}
	}
}

// prefers reports whether e is the affinity endpoint of the prompt.
func (a *affinity) prefers(e *endpoint) bool { return a.best[0] == e }

// reportedSample is the number of usable endpoints, the affinity endpoints among them and at least
// one drawn at random, that are compared in a service whose endpoints report their load. Nodes
// that compare more of them on the same outdated sums choose the same few endpoints together.
const reportedSample = 2

// candidates returns the endpoints to compare: all of a small service, otherwise the
// affinity endpoints of the prompt and a random sample.
func (p *Placer) candidates(req *Request, aff *affinity) []*endpoint {
	list := p.services[req.Service]
	aff.rank(p, list, req)
	isSampled := req.Prompt > 0 && len(list) > 2*reportedSample && p.reportsLoad(req.Service, req.Now)
	if len(list) <= sampleThreshold && !isSampled {
		return list
	}
	usable := 0
	out := make([]*endpoint, 0, 2*sampleSize+len(aff.best))
	for _, e := range aff.best {
		if e != nil {
			out = append(out, e)
			if isSampled && p.isUsable(e, req, aff) {
				usable++
			}
		}
	}
	for range 2 * sampleSize {
		e := draw(list, req.Boot)
		out = append(out, e)
		if isSampled && p.isUsable(e, req, aff) {
			if usable++; usable >= reportedSample {
				break
			}
		}
	}
	if isSampled && usable == 0 && len(list) <= sampleThreshold {
		return list
	}
	return out
}

// isUsable reports whether the endpoint can take the call in time.
func (p *Placer) isUsable(e *endpoint, req *Request, aff *affinity) bool {
	if !e.isEligible(req) || e.notice != nil && !p.isWilling(e.notice, req) || !e.isOpen(req.Boot) || p.isFull(e, req) {
		return false
	}
	_, _, late := p.estimate(e, req, aff)
	return late <= 0
}
