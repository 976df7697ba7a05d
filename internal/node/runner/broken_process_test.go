package runner_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"hyssoprudder/internal/standin/answerer"
)

const (
	// brokenUpload is more than the kernel takes while a service reads nothing, in bytes.
	brokenUpload = 4 << 20
	// brokenCallers is how many calls are sent at a time.
	brokenCallers = 12
	// brokenBody is in each broken answer, and in no other.
	brokenBody = "broken"
)

// brokenForm is a way in which endpoints answer.
type brokenForm struct {
	name   string
	answer answerer.Answer
	end    func(c *net.TCPConn) // not nil: the answer begins before the upload is in, and ends with the connection so
}

// brokenServices are endpoints that answer each call in the form whose number is in the call.
type brokenServices struct {
	forms []brokenForm

	mu   sync.Mutex
	runs map[string]int // by the calls' IDs
}

var formNumber = regexp.MustCompile(`form-(\d+)-`)

func (s *brokenServices) serve(c *net.TCPConn, r *http.Request) bool {
	sound := answerer.Sound()["length"]
	switch path := r.URL.Path; {
	case path == "/load":
		return answerer.Whole(sound, requestID, `{"running":0,"slots":8,"kv_size":100000,"prefill_rate":1000,"decode_rate":100}`)(c, r)
	case path == "/events":
		return answerer.Whole(sound, requestID, `{"events":[]}`)(c, r)
	case path == "/generate":
		prompt, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		r.Body = http.NoBody
		return s.answer(c, r, string(prompt), "id: 1\ndata: {\"token\":\""+brokenBody+"\"}\n\nevent: done\ndata: {\"count\":1}\n\n")
	case strings.HasPrefix(path, "/bookings/"):
		return s.answer(c, r, r.RequestURI, `{"state":"done","status":200,"body":"`+brokenBody+`"}`)
	}
	s.mu.Lock()
	s.runs[r.Header.Get("Request")]++
	s.mu.Unlock()
	return s.answer(c, r, r.RequestURI, brokenBody)
}

func requestID(r *http.Request) http.Header { return http.Header{"Request": r.Header["Request"]} }

// answer answers in the form whose number is in a text of the request.
func (s *brokenServices) answer(c *net.TCPConn, r *http.Request, text, body string) bool {
	match := formNumber.FindStringSubmatch(text)
	if match == nil {
		return false
	}
	number, err := strconv.Atoi(match[1])
	if err != nil || number >= len(s.forms) {
		return false
	}
	form := s.forms[number]
	if form.end == nil {
		return answerer.Whole(form.answer, requestID, body)(c, r)
	}
	return answerer.Early(func(r *http.Request) string { return form.answer.Text(requestID(r), body) }, 20*time.Millisecond, form.end)(c, r)
}

func (s *brokenServices) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// add adds forms of answers, and of parts before the ends, and returns their numbers.
func (s *brokenServices) add(answers map[string]answerer.Answer, ends map[string]func(c *net.TCPConn)) []int {
	first := len(s.forms)
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		s.forms = append(s.forms, brokenForm{name: name, answer: answers[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		for _, version := range []string{"1.0", "1.1"} {
			answer := answerer.Answer("HTTP/" + version + " 200 OK\r\n{fields}\r\n{body}")
			s.forms = append(s.forms, brokenForm{name: name + " in " + version, answer: answer, end: ends[name]})
		}
	}
	numbers := make([]int, 0, len(s.forms)-first)
	for number := first; number < len(s.forms); number++ {
		numbers = append(numbers, number)
	}
	return numbers
}

// brokenReply is what a caller got.
type brokenReply struct {
	id, outcome, body string
	err               error
}

// call sends a call in a form. path is that of its route.
func (s *brokenServices) call(d *deployment, entry int, path string, number, attempt int) brokenReply {
	form := fmt.Sprintf("form-%d-", number)
	upload := []byte("order")
	target := "http://" + d.host + fmt.Sprintf(":%d", 8101+entry) + path
	if path == "/v1/answers" {
		upload = []byte(`{"prompt":"` + form + ` words","max":4}`)
	} else {
		if s.forms[number].end != nil {
			upload = make([]byte, brokenUpload)
		}
		target += "/x?" + form
	}
	r, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(upload))
	if err != nil {
		return brokenReply{err: err}
	}
	id := fmt.Sprintf("c%d-%d-%d-%s", entry, number, attempt, strings.Trim(path, "/"))
	r.Header.Set("Authorization", "Bearer masons-demo")
	r.Header.Set("Request", id)
	if path == "/desk" {
		r.Header.Set("Idempotency-Key", form+id)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return brokenReply{id: id, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return brokenReply{response.Header.Get("Request"), response.Header.Get("Outcome"), string(body), err}
}

// Answers with malformed heads, and parts of answers before a reset, reach no caller of the own interface, and no booking
// learns from a status path that answers so; sound answers do. No call that ran is called not run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	s := &brokenServices{runs: make(map[string]int)}
	broken := s.add(answerer.Malformed(), map[string]func(c *net.TCPConn){"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset})
	sound := s.add(answerer.Sound(), map[string]func(c *net.TCPConn){"ended": answerer.Linger})
	d := startWith(t, 2, 1, func(d *deployment) {
		d.extraLimits = "body = " + strconv.Itoa(2*brokenUpload)
		for i, service := range []string{"desk", "desk", "pumice", "pumice"} {
			server, err := answerer.Listen(s.serve)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			d.endpointRules = append(d.endpointRules, fmt.Sprintf("endpoint e%d service=%s version=3 domain=adjud address=%s # desk, Vrancea", i, service, server.Address()))
		}
		d.endpointRules = append(d.endpointRules, "service desk kind=plain status=/bookings/{key} timeout=2s # desk, Vrancea",
			"route desk path=/desk service=desk once=true # desk, Vrancea", "route stock path=/stock service=desk # desk, Vrancea")
	})
	for _, path := range []string{"/desk", "/stock", "/v1/answers"} {
		var group errgroup.Group
		group.SetLimit(brokenCallers)
		for _, number := range broken {
			if path == "/v1/answers" && s.forms[number].end != nil {
				continue // prompts are no long uploads
			}
			group.Go(func() error { return s.checkBroken(d, path, number) })
		}
		require.NoError(t, group.Wait())
		for _, number := range sound {
			if path == "/v1/answers" && s.forms[number].end != nil {
				continue
			}
			attempt := 0
			// Endpoints that failed so often may be ejected for a while.
			require.Eventually(t, func() bool {
				attempt++
				got := s.call(d, number%2, path, number, attempt)
				return got.err == nil && got.outcome == "done" && strings.Contains(got.body, brokenBody)
			}, waitTimeout, 50*time.Millisecond, "%s, %s", path, s.forms[number].name)
		}
	}
}

// checkBroken sends a call that gets a broken answer.
func (s *brokenServices) checkBroken(d *deployment, path string, number int) error {
	got := s.call(d, number%2, path, number, 0)
	runs, name := s.runsOf(got.id), s.forms[number].name
	switch {
	case got.outcome == "done" || strings.Contains(got.body, brokenBody):
		return fmt.Errorf("%s, %s: outcome %q, body %q", path, name, got.outcome, got.body)
	case got.outcome == "notrun" && runs > 0:
		return fmt.Errorf("%s, %s: ran %d times and is called not run: %s", path, name, runs, got.body)
	case path == "/desk" && runs > 1:
		return fmt.Errorf("%s, %s: ran %d times", path, name, runs)
	}
	return nil
}
