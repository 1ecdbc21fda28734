package jobs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// openConnection opens a connection to a host and uses it for one request, so that
// the host has accepted it.
func (d *deployment) openConnection(n int) (net.Conn, *bufio.Reader) {
	connection, err := net.Dial("tcp4", d.hosts[n].CallerAddress)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = connection.Close() }) // the host may have closed it
	reader := bufio.NewReader(connection)
	d.sendRequest(connection, http.MethodGet, queuePath, "")
	response, err := http.ReadResponse(reader, nil)
	require.NoError(d.t, err)
	require.NoError(d.t, response.Body.Close())
	return connection, reader
}

func (d *deployment) sendRequest(connection net.Conn, method, path, body string) {
	_, err := fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, queueHost, len(body), body)
	require.NoError(d.t, err)
}

// Guards against a stopping host that exits while a request waits for a scheduler.
func TestRequestLateInTheDrainIsAnswered(t *testing.T) {
	for _, afterSignal := range []time.Duration{3500 * time.Millisecond, 4900 * time.Millisecond} {
		t.Run(afterSignal.String(), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1, 1)
			connection, reader := d.openConnection(0)
			d.signalHost(0, syscall.SIGTERM)
			<-time.After(afterSignal)
			d.sendRequest(connection, http.MethodPost, queuePath+jobID(1), oneTask)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err, "the connection ended without an answer")
			require.NoError(t, response.Body.Close())
			<-d.process(0).exited
			require.True(t, d.process(0).cmd.ProcessState.Success())
		})
	}
}

// Guards against a shard without a scheduler while all hosts are stopping.
func TestTasksStartWhileAllHostsStop(t *testing.T) {
	d := newDeployment(t, 2, 2)
	d.submit(jobID(0), oneTask)
	d.awaitState(jobID(0), "completed")
	scheduler := d.schedulerIndex()
	connection, reader := d.openConnection(scheduler)
	d.signalHost(1-scheduler, syscall.SIGTERM)
	<-time.After(300 * time.Millisecond)
	d.signalHost(scheduler, syscall.SIGTERM)
	<-time.After(time.Second)
	d.sendRequest(connection, http.MethodPost, queuePath+jobID(1), oneTask)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	d.await("the task runs", func() bool { return d.recorder.Starts(jobID(1)+".0.0.0") > 0 })
	select {
	case <-d.process(scheduler).exited:
		require.Fail(t, "the task was started only after the hosts had stopped")
	default:
	}
	<-d.process(1 - scheduler).exited
	d.startHost(1 - scheduler)
	d.awaitState(jobID(1), "completed")
	require.Empty(t, d.recorder.Violations())
}

// Guards against a process that is killed at the end of its grace period because a
// check of the load balancer is incomplete.
func TestStoppingHostExitsDespiteIncompleteCheck(t *testing.T) {
	d := newDeployment(t, 1, 1)
	check, err := net.Dial("tcp4", d.hosts[0].ReadinessAddress)
	require.NoError(t, err)
	defer check.Close()
	_, err = check.Write([]byte("POST /readyz HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"))
	require.NoError(t, err)
	d.signalHost(0, syscall.SIGTERM)
	select {
	case <-d.process(0).exited:
		require.True(t, d.process(0).cmd.ProcessState.Success())
	case <-time.After(time.Duration(d.hosts[0].GraceSeconds * float64(time.Second))):
		require.Fail(t, "the host still runs at the end of its grace period")
	}
}

// Guards against a scheduler that was paused at the time of its handover and exits
// without a resignation, so that its successor waits for its leases.
func TestSchedulerPausedDuringItsHandoverResigns(t *testing.T) {
	d := newDeployment(t, 1, 1)
	d.submit(jobID(0), oneTask)
	http.DefaultClient.CloseIdleConnections() // the host does not wait for connections
	d.signalHost(0, syscall.SIGTERM)
	<-time.After(3500 * time.Millisecond)
	d.signalHost(0, syscall.SIGSTOP)
	<-time.After(1800 * time.Millisecond)
	d.signalHost(0, syscall.SIGCONT)
	<-d.process(0).exited
	require.True(t, d.process(0).cmd.ProcessState.Success())
	page, err := d.store.ReadCompacted(t.Context(), "lead."+service, "")
	require.NoError(t, err)
	require.NotEmpty(t, page.Records)
	var holder lead.Holder
	require.NoError(t, json.Unmarshal(page.Records[0].Value, &holder))
	require.True(t, holder.Resigned)
}
