package contract

import "github.com/laburnumpass/laburnumpass/internal/worker"

// Sample returns a small valid set of objects with one profile for each kind of
// work.
func Sample() ObjectSet {
	const minute = 60 * 1000
	s := NewObjectSet()
	s.Profiles["urgent"] = Profile{
		Placement: Placement{Strategy: LeastLoaded, KeepAccelerators: true},
		Queue:     Queue{Priority: 90, Limit: 2000, MaxWaitMS: 3600, AgeingMS: 100, GuaranteedPercent: 40, Borrow: true},
		Refusal:   Refusal{Early: true, RetryAfterMS: 200, JitterPercent: 50},
		Overrun:   []OverrunAction{OverrunThrottle},
	}
	s.Profiles["interactive"] = Profile{
		Placement: Placement{Strategy: SpreadRacks},
		Queue:     Queue{Priority: 60, Limit: 5000, MaxWaitMS: minute, AgeingMS: 1000, GuaranteedPercent: 20, Borrow: true},
		Refusal:   Refusal{Early: true, RetryAfterMS: 1000, JitterPercent: 50},
		Overrun:   []OverrunAction{OverrunThrottle, OverrunStop},
	}
	s.Profiles["batch"] = Profile{
		Placement: Placement{Strategy: Pack, KeepAccelerators: true},
		Queue:     Queue{Priority: 10, Limit: 50000, MaxWaitMS: 12 * 60 * minute, AgeingMS: minute, GuaranteedPercent: 10, Borrow: true},
		Refusal:   Refusal{RetryAfterMS: 10000, JitterPercent: 100},
		Overrun:   []OverrunAction{OverrunThrottle, OverrunCheckpoint, OverrunStop},
	}
	s.Profiles["gang"] = Profile{
		Placement: Placement{Strategy: Pack, LocalOnly: true},
		Queue:     Queue{Priority: 30, Limit: 1000, MaxWaitMS: 12 * 60 * minute, AgeingMS: minute, GuaranteedPercent: 10, Borrow: true},
		Refusal:   Refusal{RetryAfterMS: 10000, JitterPercent: 100},
		Overrun:   []OverrunAction{OverrunCheckpoint, OverrunStop},
	}
	size := func(milliCPU, memoryMiB, accelerators int64) worker.Resources {
		return worker.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB, Accelerators: accelerators}
	}
	s.Services["order-desk"] = Service{ServiceRequest, "urgent", size(2000, 2048, 0), 200}
	s.Services["spares-desk"] = Service{ServiceRequest, "urgent", size(4000, 4096, 0), 200}
	s.Services["inspection"] = Service{ServiceRequest, "interactive", size(8000, 16384, 1), 2000}
	s.Services["die-imaging"] = Service{ServiceRequest, "interactive", size(8000, 16384, 1), 5000}
	s.Services["batch"] = Service{ServiceBatch, "batch", size(4000, 8192, 0), 10 * minute}
	s.Services["gang"] = Service{ServiceGang, "gang", size(8000, 16384, 1), 30 * minute}
	s.Quotas["sales"] = Quota{Slots: 300, Weight: 100}
	s.Quotas["quality"] = Quota{Slots: 100, Weight: 50}
	s.Quotas["planning"] = Quota{Slots: 150, Weight: 20}
	s.Quotas["research"] = Quota{Slots: 80, Weight: 10}
	return s
}
