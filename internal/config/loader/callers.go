package loader

import "cmp"

// Callers bounds what the requests of all callers hold together. Settings that are 0 have a default.
type Callers struct {
	// Memory is what headers, bodies and connections may hold together, in MB.
	Memory float64 `yaml:"memory,omitempty"`
	// Connections is the number of connections.
	Connections int `yaml:"connections,omitempty"`
	// HeaderLines is the number of lines of a header, and HeaderMemory what a header may occupy once it is parsed, in
	// bytes.
	HeaderLines  int `yaml:"header_lines,omitempty"`
	HeaderMemory int `yaml:"header_memory,omitempty"`
}

const (
	// smallestMemory and smallestDescriptors are those of the smallest host, which is assumed if the settings do not
	// describe the host.
	smallestMemory, smallestDescriptors = 144, 3075
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// callersFraction is the fraction of the host's memory that callers may hold. The answers of endpoints may hold as
	// much on the smallest host, and the garbage collector lets the heap grow to twice what is held.
	callersFraction = 1.0 / 8
	// mb is the unit of Host.Memory.
	mb = 1 << 20
)

// CallerMemory returns what callers may hold together, in bytes.
func (e *Edge) CallerMemory() int {
	return int(cmp.Or(e.Callers.Memory, callersFraction*cmp.Or(e.Host.Memory, smallestMemory)) * mb)
}

// CallerConnections returns the number of connections of callers for a process with a limit on its descriptors, 0 if
// that is not known. They get half of the descriptors: the request on each takes at most one more to an endpoint.
func (e *Edge) CallerConnections(limit int) int {
	n := cmp.Or(e.Host.Descriptors, smallestDescriptors)
	if limit > 0 {
		n = min(n, limit)
	}
	return cmp.Or(e.Callers.Connections, max((n-reservedDescriptors)/2, 1))
}
