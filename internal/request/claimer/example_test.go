package claimer_test

import (
	"context"
	"fmt"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/claimer"
)

func ExampleClaimer() {
	log := &fakeLog{state: applier.New()}
	c := claimer.New(claimer.Config{Entry: "entry-1", Propose: log.propose, Clock: clock.System{}})
	call := claimer.Call{
		Customer: "masons", Key: "order-7", Request: "request-1", Deadline: time.Now().Add(time.Minute),
		Fingerprint: claimer.Fingerprint("POST", "/orders", []byte(`{"bags":7}`)),
	}
	first := c.Begin(context.Background(), call)
	if first.Kind() == claimer.Run && first.Execution().BeginSend() {
		first.Execution().Done(applier.Answer{Status: 201, Body: []byte("booked")})
	}
	call.Request = "request-2"
	again := c.Begin(context.Background(), call)
	fmt.Println(again.Kind() == claimer.Replay, again.Answer().Status, string(again.Answer().Body))
	// Output: true 201 booked
}
