package interf

import (
	"hash/fnv"
	"strconv"
)

const (
	// maxKinds is the number of kinds that a Tracker distinguishes.
	maxKinds = 16
	// maxNameLength is the length of the longest name of a kind, in bytes. Names come from
	// callers and are sent with each task, so they must not be of any length.
	maxNameLength = 96
	// hashBase is the base in which the hash at the end of a shortened name is written.
	hashBase = 36
)

// Kind returns the kind of the tasks of a step, given the name of the route and the step's
// image, which may be empty. Longer names end with a hash of the whole.
func Kind(routeName, image string) string {
	name := routeName
	if image != "" {
		name = routeName + "/" + image
	}
	if len(name) <= maxNameLength {
		return name
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	suffix := "#" + strconv.FormatUint(h.Sum64(), hashBase)
	return name[:maxNameLength-len(suffix)] + suffix
}
