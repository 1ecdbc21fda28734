// Command .standin3 plays the cases of the third review that are scripts. It is the platform's
// store, the runners (as processes of their own) and the consumers, and starts the entry
// hosts with the command of the deploy file.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*cellTest){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER | runner ...")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	play := cases[os.Args[1]]
	if play == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(os.Args[2], play))
}
