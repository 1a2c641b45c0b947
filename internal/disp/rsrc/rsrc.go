package rsrc

// Vector is an amount of each resource of a target. The zero value is no resources.
type Vector struct {
	CPU    int // thousandths of a core
	Memory int // megabytes
	GPU    int // devices
}

// Plus returns the sum of v and o.
func (v Vector) Plus(o Vector) Vector {
	return Vector{CPU: v.CPU + o.CPU, Memory: v.Memory + o.Memory, GPU: v.GPU + o.GPU}
}

// Minus returns the difference of v and o. Its amounts may be negative.
func (v Vector) Minus(o Vector) Vector {
	return Vector{CPU: v.CPU - o.CPU, Memory: v.Memory - o.Memory, GPU: v.GPU - o.GPU}
}

// Within reports whether no amount of v exceeds that of o.
func (v Vector) Within(o Vector) bool {
	return v.CPU <= o.CPU && v.Memory <= o.Memory && v.GPU <= o.GPU
}

// Valid reports whether no amount is negative.
func (v Vector) Valid() bool { return v.CPU >= 0 && v.Memory >= 0 && v.GPU >= 0 }
