package hoster

import "time"

// Report is the answer to GET /load: the load of an endpoint at the time At.
type Report struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Version     string    `json:"version"`
	Domain      string    `json:"domain"`
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	Slots       int       `json:"slots"`
	KVUsed      int       `json:"kv_used"`      // words
	KVSize      int       `json:"kv_size"`      // words
	PrefillRate float64   `json:"prefill_rate"` // words per second
	DecodeRate  float64   `json:"decode_rate"`  // tokens per second of a sequence that runs alone
}
