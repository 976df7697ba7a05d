package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// leaving has clients that send two safe requests one behind the other on a connection, as HTTP/1.1
// allows, and of which three in ten leave before the first answer.
func leaving(r *record, trouble bool) result {
	const (
		work   = 3 * time.Second
		leave  = 200 * time.Millisecond
		rounds = 4
	)
	d := setUp(r, 3, 3, configurationOf(1, 1, 3000, "/lookup/", "safe"))
	if d == nil {
		return notRun
	}
	for _, s := range d.servers {
		s.slowPath, s.slowWork = "/lookup/long", work
	}
	fronts := d.running("front")
	var group sync.WaitGroup
	var mu sync.Mutex
	leftAt := make(map[string]time.Time) // by request
	client := func(m *machine, name string, leaves bool) {
		defer group.Done()
		conn, err := net.DialTimeout("tcp", m.front(), time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		ids := []string{name + "1", name + "2"}
		for i, path := range []string{"/lookup/long", "/lookup/short"} {
			r.add("client sends %s to %s: GET %s", ids[i], m.name, path)
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 5000\r\nAuthorization: Bearer key1\r\n\r\n", path, ids[i])
		}
		if leaves {
			time.Sleep(leave)
			mu.Lock()
			leftAt[ids[0]], leftAt[ids[1]] = time.Now(), time.Now()
			mu.Unlock()
			r.add("client of %s and %s leaves", ids[0], ids[1])
			return
		}
		reader := bufio.NewReader(conn)
		for _, id := range ids {
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				r.add("client: %s has no answer: %v", id, err)
				return
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			r.add("client: %s is answered %d", id, answer.StatusCode)
		}
	}
	for round := range rounds {
		for i := range 10 {
			group.Add(1)
			go client(fronts[i%len(fronts)], fmt.Sprintf("%07x%07x", round+1, i+1), trouble && i < 3)
		}
		group.Wait()
		time.Sleep(work + time.Second)
	}
	long, atWork, late := 0, 0, 0
	ran := 0
	for _, s := range d.servers {
		s.mu.Lock()
		for id, span := range s.spans {
			ran++
			left, ok := leftAt[id]
			if !ok {
				continue
			}
			if span.began.Sub(left) > 500*time.Millisecond {
				late++
				r.add("GONE: %s reached %s %.2f s after its client had left", id, s.id, span.began.Sub(left).Seconds())
				continue
			}
			if span.path == "/lookup/long" {
				long++
				if span.ended.Sub(left) > 500*time.Millisecond {
					atWork++
					r.add("GONE: %s worked on %s for %.2f s after its client had left", s.id, id, span.ended.Sub(left).Seconds())
				}
			}
		}
		s.mu.Unlock()
	}
	r.add("%d of %d long requests were still worked on half a second after their client had left; %d requests reached a server later than that", atWork, long, late)
	fmt.Printf("%d of %d long requests were worked on, %d requests came late\n", atWork, long, late)
	switch {
	case ran == 0 || trouble && long == 0:
		return notRun
	case 4*atWork > long || late > 5:
		return broken
	}
	return held
}
