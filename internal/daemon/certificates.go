package daemon

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	// refreshInterval is the time between two looks at the certificate's files.
	refreshInterval = 10 * time.Second
	// refreshQuiet is the longest that the duty may go without a turn.
	refreshQuiet = time.Minute
	// expiryWarning is how long before its end a certificate is warned of.
	expiryWarning = 14 * 24 * time.Hour
	// warningInterval is the time between two such warnings.
	warningInterval = 24 * time.Hour
)

// watchCertificates keeps the certificate new, if there is one.
func (d *Daemon) watchCertificates() {
	store := d.o.Certificates
	if store == nil {
		return
	}
	d.base.Metrics.NewGauge("currantwinch_tls_certificate_left_seconds", func() float64 {
		return store.Expiry().Sub(d.o.Now()).Seconds()
	})
	w := &certificateWatch{store: store, now: d.o.Now, events: d.base.Events}
	d.base.Duties.Go("certificates", refreshQuiet, w.run)
}

// certificateWatch reads a store's files anew and reports what it finds.
type certificateWatch struct {
	store  *certs.Store
	now    func() time.Time
	events *events.Logger
	// fault is the last one reported.
	fault  string
	warned time.Time
}

func (w *certificateWatch) run(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		turn()
		w.look()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// look refreshes the store. A fault is reported once until it changes.
func (w *certificateWatch) look() {
	changed, err := w.store.Reload()
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if fault != "" && fault != w.fault {
		w.events.Log(events.CertificateUnusable, "error", fault)
	}
	w.fault = fault
	if changed {
		w.warned = time.Time{}
		w.events.Log(events.CertificateRenewed, "expires", w.store.Expiry().UTC().Format(time.RFC3339))
	}
	w.warn(w.now())
}

// warn tells of an end that is near, once an interval.
func (w *certificateWatch) warn(now time.Time) {
	end := w.store.Expiry()
	if end.Sub(now) > expiryWarning || !w.warned.IsZero() && now.Sub(w.warned) < warningInterval {
		return
	}
	w.warned = now
	w.events.Log(events.CertificateExpires, "expires", end.UTC().Format(time.RFC3339), "left", end.Sub(now).Round(time.Second).String())
}
