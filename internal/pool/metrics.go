package pool

import "time"

func (p *Pool) incrementMetric(name string) {
	if p.opts.Count != nil {
		p.opts.Count(name)
	}
}

func (p *Pool) observe(name string, d time.Duration) {
	if p.opts.Observe != nil {
		p.opts.Observe(name, d)
	}
}

func (p *Pool) addMetric(name string, n int64) {
	if p.opts.Add != nil {
		p.opts.Add(name, n)
	}
}
