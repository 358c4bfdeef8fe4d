// Command second plays the cases of the second review. It is started by the run.sh of a case
// in the root of the repository, and writes record.txt into the folder of the case. It exits
// with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
//
// With TROUBLE=0 in its environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play is a case. It returns whether its rule was broken.
type play func(rec *record, trouble bool) (broken bool, err error)

var plays = map[string]play{}

// longest bounds the time of a case.
const longest = 118 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		rec.sayf("the case did not end in time")
		rec.close()
		os.Exit(2) // the processes of the cell end with this one
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.sayf("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](rec, trouble)
	code := 0
	switch {
	case err != nil:
		rec.sayf("the case could not run: %v", err)
		code = 2
	case broken:
		rec.sayf("result: the rule was broken")
		code = 1
	default:
		rec.sayf("result: the rule held")
	}
	rec.close()
	os.Exit(code)
}
