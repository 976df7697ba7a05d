package pooler

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRefusals is how many refused calls a connection serves.
const maxRefusals = 64

// RecordRefusal records that the endpoint refused the call with the ID on the connection. It
// may write that refusal once more, where it would answer a later call with the same ID.
func (c *Conn) RecordRefusal(id string) { c.refused = append(c.refused, xxhash.Sum64String(id)) }

// HasRefused reports whether a call with the ID was refused on the connection.
func (c *Conn) HasRefused(id string) bool { return slices.Contains(c.refused, xxhash.Sum64String(id)) }
