//go:build review2

package main

import (
	"fmt"
	"os"
	"time"
)

// scenarios holds the scripts' scenarios. Each returns what broke the rule, or nothing.
var scenarios = map[string]func(w *world) string{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 SCENARIO FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	time.AfterFunc(118*time.Second, func() {
		fmt.Println("could not run: out of time")
		w.finish(2)
	})
	broken := scenarios[os.Args[1]](w)
	if broken != "" {
		w.rec.add("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		w.finish(1)
	}
	w.rec.add("the rule held")
	fmt.Println("the rule held")
	w.finish(0)
}
