package cluster

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// KeyShareCount is the number of key shares into which the hash space of
// request keys and job IDs is divided.
const KeyShareCount = 36

// KeyShare returns the share that a request key or job ID belongs to.
func KeyShare(key string) Share {
	return Share{Kind: ShareKey, Name: strconv.FormatUint(xxhash.Sum64String(key)%KeyShareCount, 10)}
}

// BackendSharesPerRegion is the number of backend shares per region.
const BackendSharesPerRegion = 4

// BackendShare returns the share that a backend server belongs to.
func BackendShare(vm VM) Share {
	slice := xxhash.Sum64String(vm.Name) % BackendSharesPerRegion
	return Share{Kind: ShareBackend, Name: vm.Location.Region + "." + strconv.FormatUint(slice, 10)}
}

// RackShare returns the share that a worker belongs to.
func RackShare(vm VM) Share {
	return Share{Kind: ShareRack, Name: vm.Location.FailureDomain + "." + vm.Location.Rack}
}
