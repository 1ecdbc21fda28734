// Package standin provides stand-ins (fakes) for the external services that the
// users run: the log, the host list and workers. Tests and the demo inject
// faults into them. The in-memory stand-ins start no goroutine that outlives a
// call, so they can be used in a testing/synctest bubble; the servers and the
// relay can't.
package standin
