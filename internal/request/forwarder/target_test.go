package forwarder_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/forwarder"
)

// Guards against a target that reaches the endpoint changed: one that begins with two slashes was
// sent in absolute form, with its first segment as the host.
func TestTargetsReachTheEndpointUnchanged(t *testing.T) {
	for name, test := range map[string]struct {
		target string
		ok     bool
	}{
		"ordinary":              {"/safe/1?a=1", true},
		"two slashes":           {"//depot/orders/book?bags=20", true},
		"three slashes":         {"///depot", true},
		"only slashes":          {"//", true},
		"encoded":               {"//depot/a%2Fb?q=%20", true},
		"empty query":           {"//depot?", true},
		"not encoded":           {"//depot/a|b", false},
		"malformed encoding":    {"//depot/%zz", false},
		"ordinary, not encoded": {"/depot/a|b", true},
	} {
		t.Run(name, func(t *testing.T) {
			u, ok := forwarder.TargetURL("10.0.0.1:80", test.target)
			require.Equal(t, test.ok, ok)
			if ok {
				require.Equal(t, test.target, u.RequestURI())
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		target := "/" + rapid.StringMatching(`[/a-zA-Z0-9%|"?=&:@ .~-]{0,12}`).Draw(t, "target")
		if strings.Contains(target, " ") {
			target = strings.ReplaceAll(target, " ", "+")
		}
		u, ok := forwarder.TargetURL("10.0.0.1:80", target)
		if !ok {
			return
		}
		var wire bytes.Buffer
		require.NoError(t, (&http.Request{Method: http.MethodGet, URL: u, Host: "a.example", Header: http.Header{}}).Write(&wire))
		line, _, _ := strings.Cut(wire.String(), "\r\n")
		require.Equal(t, "GET "+target+" HTTP/1.1", line)
	})
}
