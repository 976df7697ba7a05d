package inspector

import (
	"net"
	"net/http"
)

// Conn is a client's connection, on which one request at a time is sent.
type Conn struct {
	net.Conn
}

// NewConn returns a connection that checks what is read from inner.
func NewConn(inner net.Conn) *Conn { return &Conn{Conn: inner} }

// Check checks the head of the answer to the last request. The error is a *MalformedError.
func (c *Conn) Check(response *http.Response) error { return checkHead(response) }
