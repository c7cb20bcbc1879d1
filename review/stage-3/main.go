// Command stage-3 plays the scripted cases of the third review. It hosts the stand-ins of the platform, the
// endpoints and the callers, and starts the daemons as processes.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken means that a rule was broken.
var errBroken = errors.New("rule broken")

// cases holds the scripted cases by name.
var cases = map[string]func(*stage) error{
	"bad-release":   playBadRelease,
	"false-promise": playFalsePromise,
	"partial-entry": playPartialEntry,
	"moved-stream":  playMovedStream,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays one case: its arguments are the name of the case and the path of the record.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-3 CASE RECORD")
		return exitNotRun
	}
	s, err := newStage(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitNotRun)
	}()
	defer s.close()
	err = cases[args[0]](s)
	switch {
	case err == nil:
		s.record("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.record("result: %v", err)
		return exitBroken
	}
	s.record("result: the case could not run: %v", err)
	return exitNotRun
}
