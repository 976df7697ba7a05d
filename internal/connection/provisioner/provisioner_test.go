package provisioner_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/process/lister"
)

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func clientOf(t *testing.T, status int, retryAfter, body string) *provisioner.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	client := provisioner.New(addressOf(server))
	t.Cleanup(client.Close)
	return client
}

func TestStartErrors(t *testing.T) {
	var busy *provisioner.RateLimitedError
	var other *provisioner.StatusError
	tests := map[string]struct {
		status     int
		retryAfter string
		check      func(error)
	}{
		"refused":         {status: 503, check: func(err error) { require.ErrorIs(t, err, provisioner.ErrNoCapacity) }},
		"rate-limited":    {status: 429, retryAfter: "7", check: func(err error) { require.ErrorAs(t, err, &busy); require.Equal(t, 7*time.Second, busy.RetryAfter()) }},
		"bad Retry-After": {status: 429, retryAfter: "soon", check: func(err error) { require.ErrorAs(t, err, &busy); require.Zero(t, busy.RetryAfter()) }},
		"missing":         {status: 404, check: func(err error) { require.ErrorIs(t, err, provisioner.ErrNotFound) }},
		"other status":    {status: 500, check: func(err error) { require.ErrorAs(t, err, &other); require.Equal(t, 500, other.Status()) }},
		"malformed":       {status: 200, check: func(err error) { require.Error(t, err) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := clientOf(t, tt.status, tt.retryAfter, "{").Start(context.Background(), provisioner.Start{Intent: "a"})
			tt.check(err)
		})
	}
}

func TestInstances(t *testing.T) {
	list, err := clientOf(t, 200, "", `{"at":"2027-01-10T05:00:00Z","instances":[
		{"id":"a","address":"127.0.0.1:9","domain":"adjud","market":"reclaimable","price":1.5,"service":"pumice","version":"12","state":"live"},
		{"id":"b","address":"nowhere","state":"leaving","until":"2027-01-10T05:01:00Z"}]}`).Instances(context.Background())
	require.NoError(t, err)
	require.Len(t, list.Instances, 2)
	e, err := list.Instances[0].Endpoint()
	require.NoError(t, err)
	require.Equal(t, lister.Reclaimable, e.Market())
	require.False(t, list.Instances[0].Leaving())
	require.True(t, list.Instances[1].Leaving())
	_, err = list.Instances[1].Endpoint()
	require.Error(t, err)
}
