// Command stage-2 plays the cases of the second review: it starts daemons as separate processes with the
// command of the deploy file, beside stand-ins of the platform, the endpoints and the callers, and exits with
// 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a play.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function that plays each case. It returns whether the rule was broken.
var cases = map[string]func(s *stage, trouble bool) (bool, error){}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "number of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	s, err := newStage(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s.endOnSignal()
	broken, err := play(s, *trouble)
	if cerr := s.close(); cerr != nil && err == nil {
		err = cerr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
