package command

import "runtime/debug"

const (
	// heapFraction is the fraction of the VM's memory that the heap may take before
	// the garbage collector runs more often (GOMEMLIMIT).
	heapFraction = 0.5
	megabyte     = 1 << 20
)

// limitHeap sets the memory limit of the garbage collector for a VM of memoryMB mebibytes; 0
// means that the memory is not known. A limit of 0 would make the collector run all the time.
func limitHeap(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(memoryMB) * megabyte))
	}
}
