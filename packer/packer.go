package packer

// Packer values free capacity by the recent tasks that fit into it.
type Packer struct {
	sizes [64]int64
	count int
	next  int
	total int64
}

// Record records the processor capacity of a task that starts.
func (packer *Packer) Record(size int64) {
	packer.total += size - packer.sizes[packer.next]
	packer.sizes[packer.next] = size
	packer.next = (packer.next + 1) % len(packer.sizes)
	packer.count = min(packer.count+1, len(packer.sizes))
}

// Value returns the usable part of free capacity, averaged over recent tasks weighted by their size.
func (packer *Packer) Value(free int64) int64 {
	if packer.total == 0 {
		return free
	}
	sum := int64(0)
	for _, size := range packer.sizes[:packer.count] {
		sum += size * (free - free%max(size, 1))
	}
	return sum / packer.total
}

// Loss returns how much usable capacity a task takes beyond its own size.
func (packer *Packer) Loss(free, size int64) int64 {
	return packer.Value(free) - packer.Value(free-size)
}
