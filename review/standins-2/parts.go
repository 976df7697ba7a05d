package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const modelConfiguration = `{"Version":%d,"Routes":[
{"Name":"r-draft","Host":"ficu95.example","PathPrefix":"/draft/","Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":800,"Priority":1,"Service":"model0a","MaxAttempts":1,"AllowAnonymous":false,"StickySessions":true,"ResumeStreams":false,"GapTargetMs":500}],
"Services":[{"Name":"model0a","HealthCheckPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false,
"Engine":{"Slots":64,"KvCacheTokens":430994,"KvTokenBytes":327680,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":3,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["i9n73hh2b9wu3fexd9dn"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":600000,"Burst":600000}]}`

// prompts makes requests. Their prompts begin with a part that all share, of 2,520 tokens as in the sheet. Usually one
// part of the request's own follows; with the disruption as many as fit into a head of 16,384 bytes, of one token each.
type prompts struct {
	next   atomic.Uint64
	isMany bool
}

const (
	sharedTokens = 2520
	ownTokens    = 200
	maxHead      = 16384
)

func (p *prompts) request(id string) string {
	head := "POST /draft/2f HTTP/1.1\r\nHost: " + hostName + "\r\nX-Request-Id: " + id + "\r\nX-Request-Deadline: 6000\r\nAuthorization: Bearer " + keyOne +
		"\r\nX-Model: m\r\nContent-Length: 4\r\n"
	parts := fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:%d", sharedTokens)
	if !p.isMany {
		return head + fmt.Sprintf("X-Token-Counts: %d,51\r\n%s,%08x:%d\r\n\r\ntext", sharedTokens+ownTokens, parts, p.part(), ownTokens)
	}
	var text strings.Builder
	text.WriteString(parts)
	tokens := sharedTokens
	for len(head)+len("X-Token-Counts: 1234,51\r\n")+text.Len()+len(",5c1e07a2:1\r\n\r\n") <= maxHead {
		fmt.Fprintf(&text, ",%08x:1", p.part())
		tokens++
	}
	return head + fmt.Sprintf("X-Token-Counts: %d,51\r\n", tokens) + text.String() + "\r\n\r\ntext"
}

// part returns the ID of a part that no other request has.
func (p *prompts) part() uint32 { return uint32(p.next.Add(1) * 2654435761) }

// kept is a client with one kept connection to a front machine.
type kept struct {
	fleet   *fleet
	machine *machine
	prompts *prompts
	number  int
	every   time.Duration
	counts  *counts
}

type counts struct {
	mu                    sync.Mutex
	sent, answered, other int
	cut                   []string // ids of requests on kept connections that ended without an answer
}

func (k *kept) run(done chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	var c net.Conn
	var reader *bufio.Reader
	next := time.Now().Add(time.Duration(rand.Float64() * float64(k.every)))
	for i := 0; ; i++ {
		select {
		case <-done:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(time.Until(next)):
		}
		next = time.Now().Add(k.every)
		isKept := c != nil
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", net.JoinHostPort(k.machine.ip, strconv.Itoa(portFront)), time.Second); err != nil {
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%08x%08x", k.number, i)
		status, err := k.exchange(c, reader, id)
		k.counts.mu.Lock()
		k.counts.sent++
		switch {
		case err == nil && status == http.StatusOK:
			k.counts.answered++
		case err == nil:
			k.counts.other++
		case isKept:
			k.counts.cut = append(k.counts.cut, id)
		}
		k.counts.mu.Unlock()
		if err != nil {
			c.Close()
			c = nil
		}
	}
}

func (k *kept) exchange(c net.Conn, reader *bufio.Reader, id string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(c, k.prompts.request(id)); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// memory returns the anonymous memory of the machine's process in MB.
func (m *machine) memory() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb >> 10
}

const (
	memoryMB      = 284
	drafters      = 18                     // engines, as in the sheet
	draftsPerS    = 118.1                  // the sheet's rate of the three kinds of streams
	draftTime     = 300 * time.Millisecond // until an engine has answered
	clientsAFront = 16
	floodTime     = 98 * time.Second
	maxKills      = 3
	maxCut        = 3 // LOST: "more than three times"
)

// parts sends requests whose prompts have many small parts, at the rate of the sheet. The platform kills
// a process that uses more than MemoryMb, and starts it again.
func parts(f *fleet, trouble bool) (int, error) {
	f.isBusy = true
	var engines []*engine
	for i := range drafters {
		e := f.newEngine(i, "model0a")
		e.slots, e.work = 64, draftTime
		e.text = func(string) string { return "id: 1\ndata: one\n\nid: 2\ndata: two\n\n" }
		engines = append(engines, e)
	}
	if err := f.start(engines, fmt.Sprintf(modelConfiguration, 7)); err != nil {
		return notRun, err
	}
	p := &prompts{isMany: trouble}
	f.record.add("a request, all others are like it: %q", p.request("9c41d07be2a35f68"))
	done, group, c := make(chan struct{}), new(sync.WaitGroup), new(counts)
	clients := clientsAFront * len(f.fronts)
	for i := range clients {
		k := &kept{fleet: f, machine: f.fronts[i%len(f.fronts)], prompts: p, number: i, counts: c, every: time.Duration(float64(clients) / draftsPerS * float64(time.Second))}
		group.Add(1)
		go k.run(done, group)
	}
	kills, err := f.watchMemory(c)
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	if err != nil {
		return notRun, err
	}
	lost := 0
	for _, id := range c.cut {
		if len(f.ran(id)) > 0 {
			lost++
			f.record.add("request %s was passed on to an engine, and its kept connection ended without an answer", id)
		}
	}
	f.record.add("requests sent %d, answered %d, refused %d; processes killed for their memory %d; passed on and ended without an answer %d", c.sent, c.answered, c.other, kills, lost)
	if c.answered < c.sent/2 {
		return notRun, fmt.Errorf("of %d requests only %d were answered", c.sent, c.answered)
	}
	if lost > maxCut {
		return broken, nil
	}
	return held, nil
}

// watchMemory does what the platform does with processes that use more than MemoryMb.
func (f *fleet) watchMemory(c *counts) (kills int, err error) {
	started := time.Now()
	for i := 0; time.Since(started) < floodTime && kills < maxKills; i++ {
		var sizes []int
		for _, m := range f.fronts {
			size := m.memory()
			sizes = append(sizes, size)
			if size <= memoryMB {
				continue
			}
			f.record.add("%s uses %d MB of anonymous memory, more than MemoryMb: the platform kills it", m.name, size)
			m.kill()
			kills++
			if err := m.start(); err != nil {
				return kills, err
			}
		}
		if i%50 == 0 {
			c.mu.Lock()
			f.record.add("anonymous memory of the fronts in MB: %v; requests sent %d, answered %d, refused %d, cut %d", sizes, c.sent, c.answered, c.other, len(c.cut))
			c.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return kills, nil
}
