package room

// Size is an amount of each resource of a target.
type Size struct {
	CPU    int // thousandths of a core
	Memory int // MB
	GPU    int // devices
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, GPU: s.GPU + o.GPU}
}

// Minus returns s without o.
func (s Size) Minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, GPU: s.GPU - o.GPU}
}

// Within tells whether s fits into o.
func (s Size) Within(o Size) bool {
	return s.CPU <= o.CPU && s.Memory <= o.Memory && s.GPU <= o.GPU
}

// Valid tells whether no amount is negative.
func (s Size) Valid() bool { return s.CPU >= 0 && s.Memory >= 0 && s.GPU >= 0 }
