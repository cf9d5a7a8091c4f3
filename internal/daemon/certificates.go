package daemon

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	// certificateCheckInterval is the time between two checks of the certificate files.
	certificateCheckInterval = 10 * time.Second
	// certificateDutyTimeout is the time without progress after which the duty
	// counts as stuck.
	certificateDutyTimeout = time.Minute
	// expiryWarning is the remaining validity at which warnings begin.
	expiryWarning = 14 * 24 * time.Hour
	// warningInterval is the time between two warnings.
	warningInterval = 24 * time.Hour
)

// monitorCertificates starts the duty that reloads the certificate files, if the
// daemon has a certificate.
func (d *Daemon) monitorCertificates() {
	store := d.o.Certificates
	if store == nil {
		return
	}
	d.base.Metrics.NewGauge("currantwinch_tls_certificate_left_seconds", func() float64 {
		return store.Expiry().Sub(d.o.Now()).Seconds()
	})
	w := &certificateMonitor{store: store, now: d.o.Now, events: d.base.Events}
	d.base.Duties.Go("certificates", certificateDutyTimeout, w.run)
}

// certificateMonitor reloads the files of a certificate store, and logs renewals,
// errors and imminent expiry.
type certificateMonitor struct {
	store  *certs.Store
	now    func() time.Time
	events *events.Logger
	// lastError is the error found by the last check, empty if there was none.
	lastError string
	warnedAt  time.Time
}

func (w *certificateMonitor) run(ctx context.Context, progress duty.Heartbeat) error {
	tick := time.NewTicker(certificateCheckInterval)
	defer tick.Stop()
	for {
		progress()
		w.check()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// check reloads the store. An error is logged again only after it has changed.
func (w *certificateMonitor) check() {
	changed, err := w.store.Reload()
	message := ""
	if err != nil {
		message = err.Error()
	}
	if message != "" && message != w.lastError {
		w.events.Log(events.CertificateUnusable, "error", message)
	}
	w.lastError = message
	if changed {
		w.warnedAt = time.Time{}
		w.events.Log(events.CertificateRenewed, "expires", w.store.Expiry().UTC().Format(time.RFC3339))
	}
	w.warnOfExpiry(w.now())
}

// warnOfExpiry logs an imminent or past expiry, once per warningInterval.
func (w *certificateMonitor) warnOfExpiry(now time.Time) {
	expiry := w.store.Expiry()
	if expiry.Sub(now) > expiryWarning || !w.warnedAt.IsZero() && now.Sub(w.warnedAt) < warningInterval {
		return
	}
	w.warnedAt = now
	w.events.Log(events.CertificateExpires, "expires", expiry.UTC().Format(time.RFC3339), "left", expiry.Sub(now).Round(time.Second).String())
}
