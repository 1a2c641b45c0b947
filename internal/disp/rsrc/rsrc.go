package rsrc

// Size is an amount of each resource of a target.
type Vector struct {
	CPU    int // thousandths of a core
	Memory int // MB
	GPU    int // devices
}

// Plus returns the sum of s and o.
func (s Vector) Plus(o Vector) Vector {
	return Vector{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, GPU: s.GPU + o.GPU}
}

// Minus returns s without o.
func (s Vector) Minus(o Vector) Vector {
	return Vector{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, GPU: s.GPU - o.GPU}
}

// Within tells whether s fits into o.
func (s Vector) Within(o Vector) bool {
	return s.CPU <= o.CPU && s.Memory <= o.Memory && s.GPU <= o.GPU
}

// Valid tells whether no amount is negative.
func (s Vector) Valid() bool { return s.CPU >= 0 && s.Memory >= 0 && s.GPU >= 0 }
