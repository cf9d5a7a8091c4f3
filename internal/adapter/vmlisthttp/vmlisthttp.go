// Package vmlisthttp reads the platform's list of VMs over HTTP: the response to
// GET /v1/vms is {"vms": [...]}, or status 304 if the request's If-None-Match
// header names the entity tag of the current list.
package vmlisthttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/membership"
	"github.com/pkg/errors"
)

// Path is the URL path of the VM list.
const Path = "/v1/vms"

// maxResponseBytes is the maximum size of the list, which holds about 1,000 VMs at
// most.
const maxResponseBytes = 16 << 20

// ListResponse is the body of the platform's response.
type ListResponse struct {
	VMs []cluster.VM `json:"vms"`
}

type list struct {
	url    string
	client *http.Client

	mu sync.Mutex
	// tag and vms are the entity tag and the VMs of the last list that was read.
	tag string
	vms []cluster.VM
}

// New returns a client of the VM list at baseURL.
func New(baseURL string, client *http.Client) membership.VMList {
	return &list{url: strings.TrimSuffix(baseURL, "/") + Path, client: client}
}

// List reads the list, or returns the last one if the platform responds that it
// is unchanged. It returns an error rather than an incomplete list.
func (l *list) List(ctx context.Context) ([]cluster.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	tag, last := l.last()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && tag != "" {
		return last, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("list VMs: status %d", response.StatusCode)
	}
	vms, err := read(response.Body)
	if err == nil {
		l.keep(response.Header.Get("ETag"), vms)
	}
	return vms, err
}

func read(body io.Reader) ([]cluster.VM, error) {
	var answer ListResponse
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&answer); err != nil {
		return nil, errors.Wrap(err, "list VMs: read answer")
	}
	for _, vm := range answer.VMs {
		if vm.Name == "" || vm.Role == "" {
			return nil, errors.Errorf("list VMs: entry %q of role %q", vm.Name, vm.Role)
		}
	}
	return answer.VMs, nil
}

func (l *list) last() (tag string, vms []cluster.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.vms
}

func (l *list) keep(tag string, vms []cluster.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.vms = tag, vms
}
