package cell

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A renamed field must not change the JSON form of a queue: a process of another
// version would misread the queues of the jobs in the store.
func TestStoredQueue(t *testing.T) {
	queue := Queue{
		Name: "n", Host: "h", PathPrefix: "/p", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.5,
		TargetLatency: 3 * time.Second, Timeout: 4 * time.Second,
		Policy: &PolicyTiming{DecisionTime: 5 * time.Millisecond, TimePerWorker: 6 * time.Microsecond, TicketLifetime: 7 * time.Second},
	}
	const stored = `{"Name":"n","Host":"h","PathPrefix":"/p","Service":"s","Priority":1,"MaxAttempts":2,"Stretch":1.5,` +
		`"Target":3000000000,"Timeout":4000000000,"Advice":{"Decide":5000000,"PerWorker":6000,"Valid":7000000000}}`

	encoded, err := json.Marshal(queue)
	require.NoError(t, err)
	require.Equal(t, stored, string(encoded))

	var decoded Queue
	require.NoError(t, json.Unmarshal([]byte(stored), &decoded))
	require.Equal(t, queue, decoded)
}
