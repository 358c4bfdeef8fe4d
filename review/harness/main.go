// Command harness plays the scripts of the review. It starts a store, workers and
// instances of the system on loopback addresses, and exits with 1 if a rule was broken,
// 0 if it held and 2 if the script couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// script plays one case and reports whether a rule was broken.
type script struct {
	workers, nodes int
	others         int // workers of the other service
	quiet          bool
	advice         *advice
	play           func(p *platform, trouble bool) (broken bool, err error)
}

var scripts = map[string]script{
	"stale":    {8, 5, 0, false, nil, playStale},
	"ends":     {8, 3, 0, false, nil, playEnds},
	"progress": {4, 3, 0, true, nil, playProgress},
	"dropped":  {8, 3, 0, false, &callList, playDropped},
	"cancel":   {8, 3, 0, false, nil, playCancel},
	"nested":   {8, 3, 4, false, nil, playNested},
	"lasting":  {8, 3, 0, false, nil, playLasting},
	"deadly":   {8, 3, 0, false, nil, playDeadly},
	"sharing":  {8, 3, 0, false, nil, playSharing},
	"starved":  {8, 3, 0, true, &callList, playStarved},
}

// callList has the timing of advice of the site's queue call-list.
var callList = advice{decisionMs: 46, periodMs: 0.66, validityMs: 1500}

var errNotRun = errors.New("the case couldn't run")

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-harness SCRIPT ROOT FOLDER")
		return 2
	}
	s, ok := scripts[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such script")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = rec.f.Close() }()
	rec.quiet = s.quiet
	p, err := newPlatform(root, rec, s.workers, s.others, s.advice)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer p.close()
	// The processes of the script end with it.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		p.close()
		os.Exit(2)
	}()
	if err := p.startNodes(s.nodes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	// The cell is ready once a job is done.
	if !p.submit(0, "00000000000000ff", job("ms=50", step{Count: 1, CPU: 500}), 500) || p.waitState("00000000000000ff", 15*time.Second, "completed") != "completed" {
		rec.log("the system doesn't serve")
		return 2
	}
	time.Sleep(time.Second)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("begin, trouble %v", trouble)
	broken, err := s.play(p, trouble)
	switch {
	case err != nil:
		rec.log("not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	case broken:
		rec.log("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	rec.log("rule held")
	fmt.Println("rule held")
	return 0
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMb        int64  `json:"memMb,omitempty"`
	Estimate     int64  `json:"estRuntimeMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int64  `json:"targetMs,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
}

func job(spec string, steps ...step) map[string]any {
	for i := range steps {
		steps[i].MemMb = 64
	}
	return map[string]any{"spec": spec, "steps": steps}
}
