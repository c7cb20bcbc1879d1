// Command stage plays the cases of the review that are scripts: it starts daemons as processes with the command of
// the deploy file, beside stand-ins of the platform, of runners and of clients, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlayTime bounds one play.
const maxPlayTime = 110 * time.Second

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, s *stage, trouble bool) (bool, error){
	"preempted-streams": playPreemptedStreams,
	"usage-twice":       playUsageTwice,
	"second-stop":       playSecondStop,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	flag.Parse()
	os.Exit(play(*name, *record, *trouble))
}

// play plays one case and returns the exit code.
func play(name, record string, trouble bool) int {
	fn, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is called %q\n", name)
		return exitNotRun
	}
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxPlayTime)
	defer cancel()
	s, err := newStage(ctx, f)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := fn(ctx, s, trouble)
	err = errors.Join(err, s.close(), f.Close())
	switch {
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("the rule held")
	return exitHeld
}
