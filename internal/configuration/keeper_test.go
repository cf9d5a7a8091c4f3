package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
)

// answeringPeers gives one answer to all queries.
type answeringPeers struct{ answer answer }

func (*answeringPeers) Handle(string, roles.PeerHandler) {}

func (p *answeringPeers) Call(_ context.Context, _, _ string, _, result any) error {
	text, err := json.Marshal(p.answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// decodeVersion decodes records whose values are versions.
func decodeVersion(records []partition.Record) (*Published, error) {
	r := records[len(records)-1]
	var version uint64
	if _, err := fmt.Sscan(string(r.Value), &version); err != nil {
		return nil, errors.New("unreadable")
	}
	return &Published{&routing.Configuration{Version: version}, r}, nil
}

// Guards against a daemon that takes a version from another one without its content, or an older
// one, and so mixes two versions or goes back.
func TestKeeper_TakesLaterVersionsFromTheirBytesAlone(t *testing.T) {
	for name, row := range map[string]struct {
		answer answer
		want   uint64
	}{
		"later":                          {answer{Version: 9, Record: &partition.Record{Value: []byte("9")}}, 9},
		"later, without its content":     {answer{Version: 9}, 5},
		"later, and it cannot be read":   {answer{Version: 9, Record: &partition.Record{Value: []byte("x")}}, 5},
		"the content is an older one":    {answer{Version: 9, Record: &partition.Record{Value: []byte("4")}}, 5},
		"the same, confirmed just now":   {answer{Version: 5}, 5},
		"an older one, confirmed by now": {answer{Version: 4}, 5},
	} {
		synctest.Test(t, func(t *testing.T) {
			k := New(Options{
				Decode: decodeVersion, OnApply: func() {}, Peers: &answeringPeers{row.answer}, Daemons: func() []string { return []string{"b"} },
				ApplyTime: 4 * time.Second, Events: events.Discard(), Metrics: metrics.NewSet(), Now: time.Now,
			})
			k.Read([]partition.Record{{Value: []byte("5")}})
			k.Confirm(time.Now())
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_ = k.Run(ctx, func() {})
			synctest.Wait()
			if got := k.Newest().Version; got != row.want {
				t.Errorf("%s: version %d, want %d", name, got, row.want)
			}
		})
	}
}

// Guards against a daemon with little processor time that decodes the same version for the log and
// for each other daemon that sends it (issue 63, CONFIG).
func TestKeeper_DecodesARecordOnce(t *testing.T) {
	decoded := 0
	k := New(Options{
		Decode:  func(records []partition.Record) (*Published, error) { decoded++; return decodeVersion(records) },
		OnApply: func() {}, Peers: &answeringPeers{}, Daemons: func() []string { return nil }, Events: events.Discard(), Metrics: metrics.NewSet(), Now: time.Now,
	})
	fifth, sixth := partition.Record{Offset: 8, Value: []byte("5")}, partition.Record{Offset: 9, Value: []byte("6")}
	for _, records := range [][]partition.Record{{fifth}, {fifth}, {sixth}, {fifth, sixth}} {
		k.Read(records)
		k.apply(records, "b")
	}
	if decoded != 2 || k.Newest().Version != 6 {
		t.Errorf("version %d after %d times of decoding, want 6 after 2", k.Newest().Version, decoded)
	}
	k.Read([]partition.Record{{Offset: 9, Value: []byte("7")}})
	if k.Newest().Version != 7 {
		t.Errorf("version %d, want 7, which a log that lost its end holds at the same offset", k.Newest().Version)
	}
}
