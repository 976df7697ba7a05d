package runner_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/operator"
)

func sha256Hex(token string) string {
	s := sha256.Sum256([]byte(token))
	return hex.EncodeToString(s[:])
}

// racer sends one change, concurrently with others, and delivers its result to done.
type racer struct {
	d      *deployment
	node   string
	change operator.Change
	done   chan error
}

func (r *racer) run() {
	_, err := r.d.client(r.node).Apply(context.Background(), r.change)
	r.done <- err
}

// changedRules returns rules with a further customer of the given name.
func (d *deployment) changedRules(name string) string {
	return d.rules("customer " + name + " token=sha256:" + sha256Hex(name) + " # desk, Vrancea")
}

func TestOperatorsWithEqualBasesRace(t *testing.T) {
	d := start(t, 3, 3)
	const racers = 4
	all := make([]*racer, racers)
	for i := range all {
		all[i] = &racer{d: d, node: d.names[i%len(d.names)], done: make(chan error, 1),
			change: operator.Change{ID: fmt.Sprintf("change-%d", i), Base: 1, Text: d.changedRules(fmt.Sprintf("racer%d", i)), Author: "test"}}
		go all[i].run()
	}
	var winner *racer
	for _, r := range all {
		err := <-r.done
		if err == nil {
			require.Nil(t, winner, "two changes with equal bases were accepted")
			winner = r
			continue
		}
		var fault *operator.Fault
		require.ErrorAs(t, err, &fault)
		require.Equal(t, operator.CodeConflict, fault.Code)
		require.NotEmpty(t, fault.Changes.Added)
	}
	require.NotNil(t, winner)

	// A change that is sent again since its answer was lost gets the same answer, also
	// from the next leader.
	leader := d.awaitLeader(d.names...)
	d.kill(leader)
	for _, name := range d.names {
		if name != leader {
			d.requireEventually("the same answer again", func() bool {
				changed, err := d.client(name).Apply(context.Background(), winner.change)
				return err == nil && changed.Revision == 2
			})
		}
	}
}

func TestConflictHasItsOwnExitCode(t *testing.T) {
	d := start(t, 1, 1)
	d.write("other.txt", d.changedRules("other"))
	require.Equal(t, 0, d.command("rule", "apply", "-base", "1", "-wait", "11s", d.path("other.txt")).code)
	d.write("late.txt", d.changedRules("late"))
	late := d.command("rule", "apply", "-base", "1", d.path("late.txt"))
	require.Equal(t, 3, late.code)
	require.Contains(t, late.err, "+ customer other")
	require.Contains(t, d.command("rule", "history").out, "customer other")
	require.NotContains(t, d.command("rule", "list").out, "customer late")
}

// An accepted change is in force at every node that reports that it is ready, also after
// nodes were restarted or frozen in the meantime.
func TestAcceptedRulesNeverRevert(t *testing.T) {
	d := start(t, 4, 3)
	frozen := d.awaitLeader("n1", "n2", "n3")
	d.nodes[frozen].signal(t, syscall.SIGSTOP)
	d.kill("n4")
	awake := "n1"
	if frozen == "n1" {
		awake = "n2"
	}
	d.write("next.txt", d.changedRules("next"))
	d.requireEventually("a change without the frozen leader", func() bool {
		return d.commandAt(awake, "rule", "apply", "-id", "c2", "-base", "1", d.path("next.txt")).code == 0
	})
	d.startNode("n4")
	d.nodes[frozen].signal(t, syscall.SIGCONT)
	// n4 stores no rules on disk. When it reports that it is ready, it must have the
	// accepted revision.
	d.requireEventually("n4 ready with revision 2", func() bool {
		s, ok := d.dump("n4")
		if ok && s.Ready == "ready" {
			require.GreaterOrEqual(t, s.Revision, uint64(2), "a restarted node was ready with old rules")
			return true
		}
		return false
	})
	for _, name := range d.names {
		d.requireEventually(name+" runs revision 2", func() bool {
			s, ok := d.dump(name)
			return ok && s.Revision == 2 && s.Ready == "ready"
		})
	}
}

// A keeper that lost its data folder rejoins under a new identity. When a second keeper is
// lost right after that, no accepted change is missing.
func TestWipedKeeperThenSecondLoss(t *testing.T) {
	d := start(t, 3, 3)
	before, ok := d.dump("n2")
	require.True(t, ok)
	d.kill("n2")
	d.write("next.txt", d.changedRules("next"))
	d.requireEventually("a change by two keepers", func() bool {
		return d.command("rule", "apply", "-id", "c2", "-base", "1", d.path("next.txt")).code == 0
	})
	require.NoError(t, os.RemoveAll(d.path("data-n2")))
	d.startNode("n2")
	var identity string
	d.requireEventually("n2 votes again", func() bool {
		s, ok := d.dump("n2")
		if !ok || s.Keeper == nil {
			return false
		}
		identity = s.Keeper.Identity
		for _, m := range s.Keeper.Members {
			if m.ID == identity && m.Voter {
				return true
			}
		}
		return false
	})
	require.NotEqual(t, before.Keeper.Identity, identity, "a keeper with an empty folder must not vote under its old identity")

	d.kill("n3")
	d.write("third.txt", d.changedRules("third"))
	d.requireEventually("a change after the second loss", func() bool {
		return d.commandAt("n2", "rule", "apply", "-id", "c3", "-base", "2", d.path("third.txt")).code == 0
	})
	history := d.commandAt("n2", "rule", "history")
	require.Contains(t, history.out, "customer next")
	require.Contains(t, history.out, "customer third")
}

// A quorum of keepers that has no contact with most nodes accepts no change, since those
// nodes would continue to serve without it.
func TestNoChangeWithoutMostNodes(t *testing.T) {
	d := start(t, 4, 1)
	for _, name := range []string{"n2", "n3", "n4"} {
		d.nodes[name].signal(t, syscall.SIGSTOP)
	}
	d.write("next.txt", d.changedRules("next"))
	d.requireEventually("a refusal", func() bool {
		ran := d.command("rule", "apply", "-id", "c2", "-base", "1", d.path("next.txt"))
		return ran.code == 1 && strings.Contains(ran.err, "does not see most of the nodes")
	})
	for _, name := range []string{"n2", "n3", "n4"} {
		d.nodes[name].signal(t, syscall.SIGCONT)
	}
	d.requireEventually("accepted again", func() bool {
		return d.command("rule", "apply", "-id", "c2", "-base", "1", "-wait", "11s", d.path("next.txt")).code == 0
	})
}
