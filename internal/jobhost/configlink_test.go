package jobhost

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/platform"
	"github.com/laburnumpass/laburnumpass/platform/platformtest"
)

// narrowLink passes on the replies of a store in small parts, with pauses between them.
type narrowLink struct {
	http.Handler
	parts int
	// pause is between two parts; after stallAfter parts nothing follows.
	pause      time.Duration
	stallAfter int
	// open counts the replies that are under way, and mostOpen is the largest number.
	open, mostOpen, requests atomic.Int64
}

func (l *narrowLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.requests.Add(1)
	l.mostOpen.Store(max(l.mostOpen.Load(), l.open.Add(1)))
	defer l.open.Add(-1)
	l.Handler.ServeHTTP(&narrowWriter{w, r.Context(), l}, r)
}

type narrowWriter struct {
	http.ResponseWriter
	ctx  context.Context
	link *narrowLink
}

func (w *narrowWriter) Write(p []byte) (int, error) {
	size := len(p)/w.link.parts + 1
	for n := 0; n*size < len(p); n++ {
		if w.link.stallAfter > 0 && n == w.link.stallAfter {
			<-w.ctx.Done()
			return n * size, w.ctx.Err()
		}
		if _, err := w.ResponseWriter.Write(p[n*size : min((n+1)*size, len(p))]); err != nil {
			return n * size, err
		}
		w.ResponseWriter.(http.Flusher).Flush()
		select {
		case <-w.ctx.Done():
			return min((n+1)*size, len(p)), w.ctx.Err()
		case <-time.After(w.link.pause):
		}
	}
	return len(p), nil
}

func followThrough(t *testing.T, m *storetest.Memory, l *narrowLink) *configFollower {
	l.Handler = platformtest.NewStoreHandler(m)
	address, err := platformtest.Serve(t.Context(), l)
	require.NoError(t, err)
	return newConfigFollower(platform.NewStoreClient(address), testr.New(t))
}

// Guards against a version that never takes effect because slow reads of it begin anew.
func TestConfigurationArrivesOverNarrowLink(t *testing.T) {
	m := &storetest.Memory{}
	storeConfiguration(t, m, teamConfiguration(7, map[string][]string{"team": {"a"}}))
	c := followThrough(t, m, &narrowLink{parts: 10, pause: 150 * time.Millisecond})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	require.Eventually(t, func() bool { return c.version() == 7 }, 2500*time.Millisecond, 10*time.Millisecond)
	stop()
	<-done
}

// Guards against a read that waits for a connection that has gone silent.
func TestSilentConfigurationReadEnds(t *testing.T) {
	m := &storetest.Memory{}
	storeConfiguration(t, m, teamConfiguration(7, map[string][]string{"team": {"a"}}))
	c := followThrough(t, m, &narrowLink{parts: 10, pause: time.Millisecond, stallAfter: 3})
	begin := time.Now()
	require.Error(t, c.refresh(t.Context(), 0))
	require.Less(t, time.Since(begin), 2*configReadTimeout)
}

// Guards against many reads of one version by one host, which fill a narrow link.
func TestCatchUpsShareOneRead(t *testing.T) {
	m := &storetest.Memory{}
	storeConfiguration(t, m, teamConfiguration(7, map[string][]string{"team": {"a"}}))
	l := &narrowLink{parts: 4, pause: 50 * time.Millisecond}
	c := followThrough(t, m, l)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), joinTimeout)
			defer cancel()
			_ = c.catchUp(ctx, 7) // a call may end before the read does
		})
	}
	calls.Wait()
	require.Eventually(t, func() bool { return c.version() == 7 }, time.Second, time.Millisecond)
	require.EqualValues(t, 1, l.mostOpen.Load(), "reads at one time")
	require.LessOrEqual(t, l.requests.Load(), int64(2))
}
