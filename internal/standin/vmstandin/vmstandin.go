// Package vmstandin implements the platform's VM list in memory, for tests. The
// list shows changes after a lag, as the platform's does, and can be made to
// show false entries, omit VMs or fail.
package vmstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/vmlisthttp"
	"github.com/gorilla/mux"
)

// VMs is a VM list. Changes show after the lag.
type VMs struct {
	now func() time.Time

	mu           sync.Mutex
	lag          time.Duration
	status       int
	history      []version
	falseEntries map[string]cluster.VM
	hidden       map[string]bool
}

// version is the actual list from a point in time on.
type version struct {
	at  time.Time
	vms []cluster.VM
}

// New returns a list that shows the given VMs immediately and later changes
// after lag.
func New(now func() time.Time, lag time.Duration, vms ...cluster.VM) *VMs {
	first := version{at: now().Add(-lag), vms: slices.Clone(vms)}
	return &VMs{now: now, lag: lag, history: []version{first}, falseEntries: make(map[string]cluster.VM), hidden: make(map[string]bool)}
}

// Put adds a VM or replaces the one of that name.
func (v *VMs) Put(vm cluster.VM) {
	v.change(func(vms []cluster.VM) []cluster.VM { return append(without(vms, vm.Name), vm) })
}

// Remove removes a VM.
func (v *VMs) Remove(name string) {
	v.change(func(vms []cluster.VM) []cluster.VM { return without(vms, name) })
}

// MarkLeaving marks a VM as leaving.
func (v *VMs) MarkLeaving(name string) {
	v.change(func(vms []cluster.VM) []cluster.VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].Leaving = true
			}
		}
		return vms
	})
}

// SetLag changes the lag, also of changes that do not show yet.
func (v *VMs) SetLag(lag time.Duration) { v.locked(func() { v.lag = lag }) }

// SetStatus makes Handler respond with an HTTP status; zero responds with the list.
func (v *VMs) SetStatus(status int) { v.locked(func() { v.status = status }) }

// SetFalseEntry immediately shows a false entry, until ClearOverrides.
func (v *VMs) SetFalseEntry(vm cluster.VM) { v.locked(func() { v.falseEntries[vm.Name] = vm }) }

// Hide immediately omits an existing VM, until ClearOverrides.
func (v *VMs) Hide(name string) { v.locked(func() { v.hidden[name] = true }) }

// ClearOverrides ends all false entries and omissions.
func (v *VMs) ClearOverrides() { v.locked(func() { clear(v.falseEntries); clear(v.hidden) }) }

// Visible returns the list that the platform currently shows, sorted by name.
func (v *VMs) Visible() []cluster.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := slices.Clone(v.visibleLocked())
	for _, wrong := range v.falseEntries {
		vms = append(without(vms, wrong.Name), wrong)
	}
	vms = slices.DeleteFunc(vms, func(vm cluster.VM) bool { return v.hidden[vm.Name] })
	slices.SortFunc(vms, func(a, b cluster.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// Handler serves the list over HTTP.
func (v *VMs) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(vmlisthttp.Path, v.serve).Methods(http.MethodGet)
	return router
}

func (v *VMs) serve(w http.ResponseWriter, r *http.Request) {
	var status int
	v.locked(func() { status = v.status })
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	// Encoding a list of VMs cannot fail.
	body, _ := json.Marshal(vmlisthttp.ListResponse{VMs: v.Visible()})
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 36))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (v *VMs) locked(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f()
}

func (v *VMs) change(apply func([]cluster.VM) []cluster.VM) {
	v.locked(func() {
		newest := slices.Clone(v.history[len(v.history)-1].vms)
		v.history = append(v.history, version{at: v.now(), vms: apply(newest)})
	})
}

// visibleLocked returns the latest version that is at least as old as the lag,
// and discards earlier versions.
func (v *VMs) visibleLocked() []cluster.VM {
	cut := v.now().Add(-v.lag)
	i := len(v.history) - 1
	for i > 0 && v.history[i].at.After(cut) {
		i--
	}
	v.history = v.history[i:]
	return v.history[0].vms
}

func without(vms []cluster.VM, name string) []cluster.VM {
	return slices.DeleteFunc(vms, func(vm cluster.VM) bool { return vm.Name == name })
}
