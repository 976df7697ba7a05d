package loader

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"hyssoprudder/internal/standin/servicer"
)

// Audit is the comparison of the calls that a service executed with the outcomes
// that its callers received.
type Audit struct {
	Runs          int      `json:"runs"`     // calls in the record of the service
	Requests      int      `json:"requests"` // distinct at-most-once requests in the log
	Doubled       []string `json:"doubled"`  // keys that ran more than once
	Lost          []string `json:"lost"`     // keys with a complete answer that did not run
	FalseNotRun   []string `json:"false"`    // keys that ran although every attempt was answered notrun
	UnclearRan    int      `json:"ran"`      // requests that ran, with neither a complete answer nor notrun
	UnclearNotRan int      `json:"notran"`   // requests that did not run, with neither a complete answer nor notrun
	Stray         int      `json:"stray"`    // executed calls that match no logged request
}

// Clean reports whether no call ran twice, was lost, or ran although its caller was
// told that it did not.
func (a Audit) Clean() bool { return len(a.Doubled)+len(a.Lost)+len(a.FalseNotRun) == 0 }

// reported combines the outcomes that the callers of one key received.
type reported struct {
	key              string
	complete, notrun bool // complete: in any result; notrun: in every result, and no attempt may have run
}

// Compare audits the log of a load against the record of the service. Requests and
// calls are matched by the hash of the request body, which is unique for each
// booking.
func Compare(results []Result, calls []servicer.Call) Audit {
	byHash := make(map[string]*reported)
	for _, r := range results {
		if !r.Once {
			continue
		}
		a := byHash[r.Hash]
		if a == nil {
			a = &reported{key: r.Key, notrun: true}
			byHash[r.Hash] = a
		}
		a.complete = a.complete || r.Outcome == Complete
		for _, attempt := range r.Attempts {
			a.notrun = a.notrun && (attempt == Refused || attempt == Unreached)
		}
		a.notrun = a.notrun && r.Outcome == Refused
	}
	audit := Audit{Runs: len(calls), Requests: len(byHash)}
	runs := make(map[string]int)
	for _, call := range calls {
		runs[call.Hash]++
		if byHash[call.Hash] == nil {
			audit.Stray++
		}
	}
	for hash, a := range byHash {
		count := runs[hash]
		switch {
		case count > 1:
			audit.Doubled = append(audit.Doubled, a.key)
		case a.complete && count == 0:
			audit.Lost = append(audit.Lost, a.key)
		case a.notrun && count > 0:
			audit.FalseNotRun = append(audit.FalseNotRun, a.key)
		case a.complete, a.notrun:
		case count > 0:
			audit.UnclearRan++
		default:
			audit.UnclearNotRan++
		}
	}
	return audit
}

// FetchRecord reads the record of a service from one of its instances.
func FetchRecord(ctx context.Context, address string) ([]servicer.Call, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", http.NoBody)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("record of %s: status %d", address, answer.StatusCode)
	}
	var record servicer.Record
	return record.Calls, json.NewDecoder(answer.Body).Decode(&record)
}

// WriteLog writes results as JSON, one object per line.
func WriteLog(w io.Writer, results []Result) error {
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return out.Flush()
}

// ReadLog reads a file written by WriteLog.
func ReadLog(path string) ([]Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var results []Result
	for decoder := json.NewDecoder(bufio.NewReader(file)); ; {
		var r Result
		switch err := decoder.Decode(&r); {
		case errors.Is(err, io.EOF):
			return results, nil
		case err != nil:
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, r)
	}
}
