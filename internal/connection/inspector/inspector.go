// Package inspector checks the heads and the ends of HTTP answers, for all clients that read
// answers. An answer that does not pass must not be used, whatever its status.
package inspector

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// maxStatus is the largest status that an answer can have (RFC 9110, 15).
const maxStatus = 599

// MalformedError means that the head of an answer violates the protocol. The request may
// have been carried out.
type MalformedError struct {
	reason string
}

// Error returns what is wrong with the head.
func (e *MalformedError) Error() string { return "malformed answer: " + e.reason }

// IsMalformed reports whether an answer was rejected for its head.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// checkHead checks what net/http accepts and the protocol forbids, as far as the parsed
// answer still shows it.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return &MalformedError{reason: "unknown version " + response.Proto}
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return &MalformedError{reason: "no final status: " + response.Status}
	}
	for name := range response.Header {
		// All other bytes that a name cannot have are rejected by net/http. A field of
		// framing with a blank in its name is not applied.
		if strings.Contains(name, " ") {
			return &MalformedError{reason: fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}
