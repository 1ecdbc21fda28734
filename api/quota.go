package api

// QuotaList shows the quotas of all teams as the schedulers of the shards know them.
type QuotaList struct {
	Teams []TeamQuotaView `json:"teams"`
	// Missing lists the shards whose schedulers did not reply.
	Missing []string `json:"missing,omitempty"`
}

// Amounts are amounts of a team's quota.
type Amounts struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
}

// TeamQuotaView is what the scheduler of one shard knows of a team's quota.
type TeamQuotaView struct {
	Team  string `json:"team"`
	Shard string `json:"shard"`
	// Quota is the whole quota; a resource with the value 0 is not limited.
	Quota Amounts `json:"quota"`
	// Percent is the part of the quota that the shard holds, for CPU, memory and
	// accelerators.
	Percent [3]float64 `json:"percent"`
	// Limit is what the team may have running in the shard, and Used what its runs hold.
	Limit Amounts `json:"limit"`
	Used  Amounts `json:"used"`
	// HeldMS is how long work has been waiting for the quota, 0 if none waits, and Lack
	// what it lacks.
	HeldMS int64   `json:"held_ms,omitempty"`
	Lack   Amounts `json:"lack"`
}
