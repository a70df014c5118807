package caller

const (
	// reservedDescriptors are left for files. Connections that a VM opens and those that its ports
	// accept share the others.
	reservedDescriptors = 200
	// minConnections is the least number of connections of a port.
	minConnections = 8
	// HeadsFraction bounds the share of a VM's memory for the heads of requests.
	HeadsFraction = 0.06
)

// Part is the part of a VM's descriptors and memory that the connections of a port may take.
type Part struct {
	Name                string
	Descriptors, Memory float64
}

// Connections returns how many connections the port takes. No descriptors are no limit.
func (p Part) Connections(memoryBytes int64, descriptors int) int {
	connections := int(p.Memory*float64(memoryBytes)) / ConnectionBytes
	if descriptors > 0 {
		connections = min(connections, int(p.Descriptors*float64(descriptors-reservedDescriptors)))
	}
	return max(connections, minConnections)
}
