package bounder

import (
	"math"
	"syscall"
)

// DescriptorLimit returns the limit on the descriptors of the process, 0 if it is not known.
func DescriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
}
