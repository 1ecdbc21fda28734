package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	cases[os.Args[1]](w)
	w.finish()
}
