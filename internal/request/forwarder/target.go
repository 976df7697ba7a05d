package forwarder

import (
	"net/url"
	"strings"
)

// targetURL returns a URL of an endpoint whose request line has exactly the target, and false if
// there is none. net/http writes the scheme before an opaque target that begins with two slashes,
// so that its first segment would become a host; such a target is passed as a path.
func targetURL(host, target string) (*url.URL, bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: host, Opaque: target}, true
	}
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		return nil, false
	}
	u := &url.URL{Scheme: "http", Host: host, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
	return u, u.RequestURI() == target
}
