//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["kind"] = playKind }

// playKind: runners of kinds a and b; consumers send jobs that require kind a. A runner of
// kind a crashes and starts again, under its id and at its address, as one of kind b.
func playKind(c *cellTest) {
	c.publish(manifest("desk"))
	kinds := []string{"a", "a", "a", "b", "b", "b", "b"}
	args := func(kind string, n int) []string {
		return []string{"-service", "desk", "-labels", fmt.Sprintf("%s,r%d", kind, n)}
	}
	for n, kind := range kinds {
		c.startRunner(fmt.Sprintf("i-%d", n), args(kind, n)...)
	}
	c.startHosts(6)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // 3 jobs a second, each of 4 tasks: somewhat more than 3 runners of 4 cores do
		defer close(done)
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(333 * time.Millisecond):
			}
			go c.submit(path, jobID(n), `{"spec":"work=1000","steps":[{"count":4,"cpu":1000,"mem-mb":256,"estimate-ms":1000,"requires":"a"}]}`)
		}
	}()
	time.Sleep(4 * time.Second)
	for n := range 6 {
		i := n % 3
		id := fmt.Sprintf("i-%d", i)
		next := "b"
		if kinds[i] == "b" {
			next = "a"
		}
		if c.trouble {
			c.crashRunner(id)
			time.Sleep(2 * time.Second)
			kinds[i] = next
			c.startRunner(id, args(next, i)...)
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	<-done
	time.Sleep(time.Second)
	for _, e := range c.all(func(e event) bool { return e.kind == "start" }) {
		if _, labels, _ := strings.Cut(e.rest, "labels="); !strings.HasPrefix(labels, "a,") {
			c.breaks("ROUTE: %s starts on %s without the label in requires: %s", e.task, e.runner, e.rest)
		}
	}
}
