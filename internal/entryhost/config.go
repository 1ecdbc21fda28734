package entryhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// configReaderOptions returns the options with which the host creates its
// configuration reader.
func (h *Host) configReaderOptions() configuration.Options {
	return configuration.Options{
		Self:     h.self.Name,
		Log:      h.platform.Log,
		Peers:    h.configPeers,
		IsPoller: h.membership.IsFirstHost,
		IsSnapshotter: func() bool {
			return h.self.Region == h.settings.Platform.LogRegion && h.membership.IsFirstHost()
		},
		Retention: time.Duration(h.settings.Platform.LogRetentionSeconds) * time.Second,
		Logger:    h.log.WithName("configuration"),
	}
}

// configPeer is another entry host from which configuration can be read.
type configPeer struct {
	name   string
	client rpc.Peer
}

// configPeers returns all other entry hosts, including those from which no
// heartbeat has been received.
func (h *Host) configPeers() []configuration.Peer {
	var out []configuration.Peer
	for _, host := range h.topology.Hosts {
		if client, ok := h.links.Client(host.Name); ok {
			out = append(out, configPeer{host.Name, client})
		}
	}
	return out
}

// Name implements configuration.Peer.
func (p configPeer) Name() string { return p.name }

// ConfigSince implements configuration.Peer.
func (p configPeer) ConfigSince(ctx context.Context, offset uint64, limit int) (configuration.Delta, error) {
	reply, err := p.client.ConfigSince(ctx, &rpc.ConfigSinceRequest{Offset: offset, Limit: uint32(limit)})
	if err != nil {
		return configuration.Delta{}, errors.Wrapf(err, "read configuration from entry host %s", p.name)
	}
	d := configuration.Delta{State: reply.State, Applied: reply.Applied}
	for _, r := range reply.Records {
		d.Records = append(d.Records, platform.Record{
			Offset: r.Offset, Data: r.Data, Appended: time.UnixMilli(r.AppendedUnixMs),
		})
	}
	return d, nil
}

// configSince handles another entry host's request for configuration records.
func (h *Host) configSince(req *rpc.ConfigSinceRequest) *rpc.ConfigSinceReply {
	d := h.config.Since(req.Offset, int(req.Limit))
	reply := &rpc.ConfigSinceReply{State: d.State, Applied: d.Applied}
	for _, r := range d.Records {
		reply.Records = append(reply.Records, &rpc.ConfigRecord{
			Offset: r.Offset, Data: r.Data, AppendedUnixMs: r.Appended.UnixMilli(),
		})
	}
	return reply
}

// publish appends a record to the configuration log. If this host cannot reach the
// log or does not learn the result, it asks hosts of other failure domains to do
// it. The repetition is safe, because the record keeps its publish ID.
func (h *Host) publish(ctx context.Context, record contract.Record) operator.PublishReport {
	report := h.publishLocally(ctx, record)
	if report.Status != configuration.StatusUnavailable && report.Status != configuration.StatusUnknown {
		return report
	}
	record.PublishID = report.PublishID
	data, err := json.Marshal(record)
	if err != nil {
		return report
	}
	for _, host := range h.topology.Hosts {
		client, ok := h.links.Client(host.Name)
		if !ok || host.FailureDomain == h.self.FailureDomain || ctx.Err() != nil {
			continue
		}
		reply, err := client.Publish(ctx, &rpc.PublishRequest{Record: data})
		var other operator.PublishReport
		if err != nil || json.Unmarshal(reply.Report, &other) != nil {
			continue
		}
		if other.Status != configuration.StatusUnavailable && other.Status != configuration.StatusUnknown {
			return other
		}
	}
	return report
}

// publishLocally appends a record to the configuration log from this host.
func (h *Host) publishLocally(ctx context.Context, record contract.Record) operator.PublishReport {
	res, err := h.publisher.Publish(ctx, record)
	report := operator.PublishReport{
		Status: res.Status, PublishID: res.PublishID, Offset: res.Offset,
		WinnerOffset: res.WinnerOffset, WinnerAuthor: res.WinnerAuthor, Fields: res.Fields,
	}
	switch {
	case res.Cause != nil:
		report.Message = res.Cause.Error()
	case err != nil:
		report.Message = err.Error()
	}
	h.telemetry.count("publish." + string(res.Status))
	h.addEvent(eventAtOffset("publish_"+string(res.Status), res.Offset))
	return report
}

// publishForPeer handles a publish request of a host that cannot reach the log.
func (h *Host) publishForPeer(ctx context.Context, req *rpc.PublishRequest) (*rpc.PublishReply, error) {
	var record contract.Record
	if err := json.Unmarshal(req.Record, &record); err != nil {
		return nil, twirp.InvalidArgumentError("record", err.Error())
	}
	data, err := json.Marshal(h.publishLocally(ctx, record))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.PublishReply{Report: data}, nil
}
