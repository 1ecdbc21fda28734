// Package standin holds small stand-ins for the services that the users run:
// the log, the host list and workers. Their faults are switched by tests and
// by the demo. The in-memory stand-ins start no goroutine that outlives a
// call, so that they can be used in a testing/synctest bubble; the servers
// and the relay can't.
package standin
