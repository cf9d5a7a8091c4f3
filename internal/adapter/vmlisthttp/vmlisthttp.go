// Package vmlisthttp reads the platform's list of VMs over HTTP: GET /v1/vms
// answers {"vms": [...]}, or 304 where the request names the entity tag of a
// list that has not changed.
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

// Path is where the platform serves its list.
const Path = "/v1/vms"

// maxAnswerBytes bounds the list, which holds some 1,000 VMs at most.
const maxAnswerBytes = 16 << 20

// ListResponse is the platform's answer.
type ListResponse struct {
	VMs []cluster.VM `json:"vms"`
}

type list struct {
	url    string
	client *http.Client

	mu sync.Mutex
	// tag and vms are those of the last whole answer that had a tag.
	tag string
	vms []cluster.VM
}

// New returns the list served under baseURL.
func New(baseURL string, client *http.Client) membership.VMList {
	return &list{url: strings.TrimSuffix(baseURL, "/") + Path, client: client}
}

// List reads the whole list, or returns the last one again where the platform
// says by its entity tag that it has not changed. It fails rather than return
// a part of it.
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
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&answer); err != nil {
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
