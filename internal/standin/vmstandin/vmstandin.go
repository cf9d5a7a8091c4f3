// Package vmstandin stands in for the platform's lagging list of VMs.
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

// VMs is the stand-in's list. What changes shows after the lag.
type VMs struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	status  int
	history []version
	wrong   map[string]cluster.VM
	hidden  map[string]bool
}

// version is the true list from a time on.
type version struct {
	at  time.Time
	vms []cluster.VM
}

// New returns a list that shows the given VMs at once and later changes after
// lag.
func New(now func() time.Time, lag time.Duration, vms ...cluster.VM) *VMs {
	first := version{at: now().Add(-lag), vms: slices.Clone(vms)}
	return &VMs{now: now, lag: lag, history: []version{first}, wrong: make(map[string]cluster.VM), hidden: make(map[string]bool)}
}

// Put adds a VM or replaces the one of that name.
func (v *VMs) Put(vm cluster.VM) {
	v.change(func(vms []cluster.VM) []cluster.VM { return append(without(vms, vm.Name), vm) })
}

// Remove takes a VM off.
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

// SetLag changes the lag of what is shown from now on.
func (v *VMs) SetLag(lag time.Duration) { v.locked(func() { v.lag = lag }) }

// SetStatus makes Handler answer with an HTTP status; zero answers the list.
func (v *VMs) SetStatus(status int) { v.locked(func() { v.status = status }) }

// SetFalseEntry shows an entry that is not true, at once, until ClearWrong.
func (v *VMs) SetFalseEntry(vm cluster.VM) { v.locked(func() { v.wrong[vm.Name] = vm }) }

// Hide leaves out a VM that exists, at once, until ClearWrong.
func (v *VMs) Hide(name string) { v.locked(func() { v.hidden[name] = true }) }

// ClearOverrides ends all wrong entries and omissions.
func (v *VMs) ClearOverrides() { v.locked(func() { clear(v.wrong); clear(v.hidden) }) }

// Visible returns the list as the platform shows it now, by name.
func (v *VMs) Visible() []cluster.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := slices.Clone(v.shownLocked())
	for _, wrong := range v.wrong {
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
	// A list of VMs always has a JSON form.
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

// shownLocked returns the newest version that is older than the lag and
// forgets those before it.
func (v *VMs) shownLocked() []cluster.VM {
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
