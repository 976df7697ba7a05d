// Command review-standins runs the cases of the review against the project's own processes.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// result is the exit code of a case.
type result int

const (
	held     result = 0
	broken   result = 1
	notRun   result = 2
	maxTotal        = 115 * time.Second
)

var cases = map[string]func(r *record, trouble bool) result{
	"rolling":  rolling,
	"rollouts": rollouts,
	"running":  running,
	"slashes":  slashes,
	"tokens":   tokens,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD")
		os.Exit(int(notRun))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan result, 1)
	go func() { done <- cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0") }()
	code := notRun
	select {
	case code = <-done:
	case <-signals:
	case <-time.After(maxTotal):
		r.add("the time of the case is over")
	}
	if current != nil {
		current.stop()
	}
	fmt.Println(map[result]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code])
	os.Exit(int(code))
}

// current is the fleet whose processes are ended at the end.
var current *fleet

// setUp starts a deployment and puts the first configuration in force.
func setUp(r *record, cores, fronts int, document []byte) *deployment {
	d, err := deploy(r, cores, fronts)
	if d != nil {
		current = d.fleet
	}
	if err != nil {
		r.add("not started: %v", err)
		return nil
	}
	time.Sleep(time.Second)
	if !d.operator.put(1, document, 10*time.Second) {
		return nil
	}
	time.Sleep(3 * time.Second)
	return d
}

func readAnswer(conn net.Conn) (int, error) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	answer.Body.Close()
	return answer.StatusCode, nil
}
