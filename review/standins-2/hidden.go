package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func head(line, id, more, end string) string {
	h := line + end + "Host: " + hostName + end + "X-Request-Id: " + id + end + "X-Request-Deadline: 2500" + end + "Authorization: Bearer " + keyOne + end
	return h + more + end
}

// exchange sends bytes on one connection and returns the statuses of the answers.
func exchange(f *fleet, m *machine, name, bytes string) ([]string, error) {
	c, err := net.Dial("tcp", net.JoinHostPort(m.ip, strconv.Itoa(portFront)))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, bytes); err != nil {
		return nil, err
	}
	f.record.add("client sends %s on one connection: %q", name, bytes)
	var out []string
	reader := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	for {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.record.add("client: no further answer: %v", err)
			return out, nil
		}
		body, _ := io.ReadAll(r.Body)
		f.record.add("client gets %s, id %s, seal %q, %q", r.Status, r.Header.Get("X-Request-Id"), r.Header.Get("X-Response-Seal"), strings.TrimSpace(string(body)))
		out = append(out, r.Status)
	}
}

// hidden sends a request that is hidden in the body of another one.
func hidden(f *fleet, trouble bool) (int, error) {
	if err := f.start([]*engine{f.newEngine(0, "huvo11a"), f.newEngine(1, "huvo11a"), f.newEngine(2, "huvo11a")}, fmt.Sprintf(smallConfiguration, 7, "")); err != nil {
		return notRun, err
	}
	end := "\r\n"
	if trouble {
		end = "\n"
	}
	inner := head("POST /book/inner HTTP/1.1", "inner-1", "Content-Length: 0\r\n", "\r\n")
	outer := head("POST /book/outer HTTP/1.1", "outer-1", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(inner)), "\r\n") + "0\r\n\r\n" + inner
	if _, err := exchange(f, f.fronts[0], "two requests", head("GET /look/first HTTP/1.1", "first-1", "", end)+outer); err != nil {
		return notRun, err
	}
	if len(f.ran("first-1")) == 0 {
		return notRun, fmt.Errorf("the first request did not run")
	}
	if len(f.ran("inner-1")) > 0 {
		return broken, nil
	}
	return held, nil
}
