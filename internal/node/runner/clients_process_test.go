package runner_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdMemory bounds the resident memory of a node in MB: its budget for clients (80 MB) with as much garbage, and
	// 64 MB for the node itself.
	crowdMemory = 224
	crowdSize   = 300
	crowdBody   = 1 << 20
	// crowdTime is how long a crowd may take to send, unless it is done earlier.
	crowdTime = 700 * time.Millisecond
)

var crowdForms = map[string]func(w io.Writer, start string){
	"bodies that stop one byte before their end": func(w io.Writer, start string) {
		_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", start, crowdBody, strings.Repeat("b", crowdBody-1))
	},
	"the same in chunks": func(w io.Writer, start string) {
		_, err := io.WriteString(w, start+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; err == nil && sent+1<<10 < crowdBody; sent += 1 << 10 {
			_, err = io.WriteString(w, "400\r\n"+strings.Repeat("b", 1<<10)+"\r\n")
		}
	},
	"chunked bodies far over the limit": func(w io.Writer, start string) {
		_, err := io.WriteString(w, start+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; err == nil && sent < 16<<20; sent += 64 << 10 {
			_, err = io.WriteString(w, "10000\r\n"+strings.Repeat("b", 64<<10)+"\r\n")
		}
	},
	"heads of very many short fields": func(w io.Writer, start string) {
		var head strings.Builder
		for i := 0; head.Len() < 16_000; i++ {
			fmt.Fprintf(&head, "%x:\r\n", 0xa00+i)
		}
		_, _ = fmt.Fprintf(w, "%s%sContent-Length: 1000\r\n\r\n%s", start, head.String(), strings.Repeat("b", 999))
	},
	"pipelined requests whose answers are not read": func(w io.Writer, start string) {
		var err error
		for err == nil {
			_, err = io.WriteString(w, strings.Repeat(start+"Content-Length: 0\r\n\r\n", 100))
		}
	},
	"slow bodies": func(w io.Writer, start string) {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", start, crowdBody)
		for ; err == nil; time.Sleep(50 * time.Millisecond) {
			_, err = io.WriteString(w, "b")
		}
	},
}

// Clients outside the system's control ended processes by exhausting memory: nodes held whatever crowds of them sent.
// During each form the node must live within its memory, be ready, and answer operators.
func TestCrowdsOfMisbehavingClients(t *testing.T) {
	folder := t.TempDir() // without the race detector, which multiplies memory
	out, err := exec.Command("go", "build", "-o", folder+"/", "hyssoprudder/cmd/hyssoprudder", "hyssoprudder/cmd/standin").CombinedOutput()
	require.NoError(t, err, "%s", out)
	d := startOf(t, folder, 1, 1, func(d *deployment) {
		d.serviceAddress = d.startStandinOnFreePort("service", "-id", "b", "-service", "bookings", "-version", "3", "-took", "20ms")
		d.endpointRules = append(d.endpointRules, "endpoint b service=bookings version=3 domain=adjud address="+d.serviceAddress+" # desk, Vrancea")
	})
	targets := map[string]struct {
		port int
		line string
	}{
		"nodes":     {7101, "POST / HTTP/1.1\r\nHost: a\r\n"},
		"readiness": {8101, "GET /readyz HTTP/1.1\r\nHost: a\r\n"},
		"no route":  {8101, "POST /nowhere HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer masons-demo\r\n"},
		"operators": {9101, "POST /rules HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + operatorsToken + "\r\n"},
		"route":     {8101, "POST /orders HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nAuthorization: Bearer masons-demo\r\n"},
	}
	for form, send := range crowdForms {
		for name, target := range targets {
			t.Run(form+" at "+name, func(t *testing.T) {
				pid := d.nodes["n1"].command.Process.Pid
				_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0) // counts the peak anew
				var group sync.WaitGroup
				until := time.Now().Add(crowdTime)
				for range crowdSize {
					conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", d.host, target.port), time.Until(until)+time.Millisecond)
					if err != nil {
						continue // a crowd may be refused
					}
					defer conn.Close()
					require.NoError(t, conn.SetWriteDeadline(until))
					group.Go(func() { send(conn, target.line) })
				}
				group.Wait()
				peak := peakMemory(t, pid)
				t.Logf("peak of the resident memory: %d MB", peak)
				require.LessOrEqual(t, peak, crowdMemory)
				d.awaitReady("n1")
			})
		}
	}
}

var peakLine = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB$`)

// peakMemory returns the peak of a process's resident memory in MB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err, "the process has ended")
	match := peakLine.FindSubmatch(status)
	require.NotNil(t, match, "%s", status)
	kb, err := strconv.Atoi(string(match[1]))
	require.NoError(t, err)
	return kb >> 10
}
