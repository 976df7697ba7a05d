package router

import (
	"math"
	"sync"
	"time"
)

const (
	sketchShards = 16
	sketchSlots  = 256
	sketchWindow = 10 * time.Second
	sketchPrior  = 20.0 // calls; added to the total, so that no key looks popular after only a few calls
	rateWindow   = 2 * time.Second
)

// sketch counts how often keys occur, with exponential decay. Keys that map to the
// same counter are counted together.
type sketch struct {
	shards [sketchShards]sketchShard
	total  counter
}

type sketchShard struct {
	mu     sync.Mutex
	counts [sketchSlots]float64
	times  [sketchSlots]time.Time
}

// add counts a key with a weight, which may be 0, and returns the fraction of the
// window's calls that had the key before.
func (s *sketch) add(now time.Time, key uint64, total, weight float64) float64 {
	shard := &s.shards[key%sketchShards]
	slot := key / sketchShards % sketchSlots
	shard.mu.Lock()
	defer shard.mu.Unlock()
	count := shard.counts[slot] * decay(now.Sub(shard.times[slot]), sketchWindow)
	shard.counts[slot], shard.times[slot] = count+weight, now
	return count / (total + sketchPrior)
}

// counter counts events with exponential decay. It is safe for concurrent use.
type counter struct {
	mu    sync.Mutex
	at    time.Time
	count float64
}

// add counts an event with a weight, which may be 0, and returns the number of events
// in the window.
func (c *counter) add(now time.Time, window time.Duration, weight float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count = c.count*decay(now.Sub(c.at), window) + weight
	c.at = now
	return c.count
}

func decay(age, window time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / window.Seconds())
}
