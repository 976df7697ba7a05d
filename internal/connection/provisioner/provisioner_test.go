package provisioner_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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

// Guards against an odd entry of another writer that ends the reading of a list: the sound
// entries hold.
func TestOddEntryLeavesTheOthers(t *testing.T) {
	deep := strings.Repeat("[", 200000) + strings.Repeat("]", 200000)
	for name, odd := range map[string]string{
		"deeply nested": `{"extra":` + deep + `}`, "control character": "{\"id\":\"a\x01\"}", "words": `not an entry`, "unclosed": `{"id":"odd"`,
		"unclosed string": `{"id":"odd`, "closed twice": `{"id":"odd"}}`, "number too large": `{"id":"odd","price":1e400,"seq":123456789012345678901234567890}`,
		"field of another type": `{"id":7,"class":7}`, "time out of range": `{"id":"odd","class":"odd","price":"1","until":"9999999-01-01T00:00:00Z"}`,
		"long ID": `{"id":"` + strings.Repeat("x", 10<<10) + `","class":"` + strings.Repeat("x", 10<<10) + `"}`, "no ID": `{"seq":9,"price":2}`, "null": `null`,
		"price below 0": `{"id":"odd","class":"odd","domain":"adjud","market":"ondemand","price":-1,"seq":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			client := clientOf(t, 200, "", `{"at":"2027-01-10T05:00:00Z","instances":[{"id":"a"},`+odd+`,{"id":"b"}]}`)
			list, err := client.Instances(context.Background())
			require.NoError(t, err)
			require.Equal(t, []provisioner.Instance{{ID: "a"}, {ID: "b"}}, list.Instances)
			require.Equal(t, 2027, list.At.Year())
			client = clientOf(t, 200, "", `{"notices":[{"seq":1,"id":"a"},`+odd+`,{"seq":2,"id":"b"}]}`)
			notices, err := client.Notices(context.Background(), 0)
			require.NoError(t, err)
			require.Equal(t, []provisioner.Notice{{Seq: 1, ID: "a"}, {Seq: 2, ID: "b"}}, notices)
			client = clientOf(t, 200, "", `{"classes":[{"class":"a","domain":"adjud","market":"ondemand","price":1},`+odd+`,`+
				`{"class":"b","domain":"adjud","market":"ondemand"}]}`)
			classes, err := client.Classes(context.Background())
			require.NoError(t, err)
			require.Equal(t, []provisioner.Class{
				{Class: "a", Domain: "adjud", Market: lister.OnDemand, Price: 1}, {Class: "b", Domain: "adjud", Market: lister.OnDemand},
			}, classes)
		})
	}
}

// Guards against an entry of another writer that is used as an endpoint, or makes one leave,
// though it names none.
func TestOddInstanceIsNoEndpoint(t *testing.T) {
	sound := provisioner.Instance{ID: "a", Service: "pumice", Address: "10.1.2.3:80", State: "live"}
	_, err := sound.Endpoint()
	require.NoError(t, err)
	for name, change := range map[string]func(i *provisioner.Instance){
		"port out of range":   func(i *provisioner.Instance) { i.Address = "10.1.2.3:99999" },
		"port 0":              func(i *provisioner.Instance) { i.Address = "10.1.2.3:0" },
		"unspecified address": func(i *provisioner.Instance) { i.Address = "0.0.0.0:80" },
		"multicast address":   func(i *provisioner.Instance) { i.Address = "224.0.0.1:80" },
		"unknown state":       func(i *provisioner.Instance) { i.State = "resting" },
		"no state":            func(i *provisioner.Instance) { i.State = "" },
		"no service":          func(i *provisioner.Instance) { i.Service = "" },
		"price below 0":       func(i *provisioner.Instance) { i.Price = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			odd := sound
			change(&odd)
			_, err := odd.Endpoint()
			require.Error(t, err)
		})
	}
}

// Guards against a notice of another writer whose number makes all later notices be missed.
func TestNoticeNumberFarAheadIsNotFollowed(t *testing.T) {
	cases := map[string]struct {
		after   uint64
		numbers []uint64
		want    uint64
	}{
		"in order":           {5, []uint64{6, 7}, 7},
		"late and twice":     {5, []uint64{7, 6, 7, 3}, 7},
		"far ahead":          {5, []uint64{6, 1 << 63, 7}, 7},
		"far ahead, alone":   {5, []uint64{math.MaxUint64}, 5},
		"many lost":          {5, []uint64{5000}, 5000},
		"first read":         {0, []uint64{1 << 40, 1<<40 + 1}, 1<<40 + 1},
		"first read, with 2": {0, []uint64{math.MaxUint64, 1 << 40}, 1 << 40},
		"none":               {5, nil, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var notices []provisioner.Notice
			for _, n := range tc.numbers {
				notices = append(notices, provisioner.Notice{Seq: n, ID: "a"})
			}
			require.Equal(t, tc.want, provisioner.LastNumber(tc.after, notices))
		})
	}
}
