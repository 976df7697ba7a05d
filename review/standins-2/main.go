// Command review-2 plays the cases of the second review that are no days of the bench: it starts the project's programs
// with the commands of the deploy file, with stand-ins of clients, engines, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"hidden":   hidden,
	"parts":    parts,
	"exposure": exposure,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return notRun
	}
	r := &record{started: time.Now()}
	defer func() { _ = r.save(filepath.Join(os.Args[2], "record.txt")) }()
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r.add("%s", map[int]string{held: "the rule held", broken: "the rule was broken"}[code])
	return code
}

const smallConfiguration = `{"Version":%d,"Routes":[
{"Name":"r-book","Host":"ficu95.example","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":100,"Priority":2,"Service":"huvo11a","MaxAttempts":1},
{"Name":"r-look","Host":"ficu95.example","PathPrefix":"/look/","Kind":"safe","TimeoutMs":3000,"TargetLatencyMs":100,"Priority":2,"Service":"huvo11a","MaxAttempts":2}],
"Services":[{"Name":"huvo11a","HealthCheckPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["i9n73hh2b9wu3fexd9dn"],"Priority":1}]%s}`
