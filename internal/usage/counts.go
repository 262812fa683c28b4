package usage

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"coursepass/internal/errcode"
)

// Counts are numbers of requests by tenant.
type Counts map[string]uint64

// Add adds other counts to these.
func (c Counts) Add(others Counts) {
	for tenant, count := range others {
		c[tenant] += count
	}
}

// hash returns a hash of the counts that is the same on all machines: the sum of one hash for each count. Those of FNV
// must be mixed before they are added, since the last bytes change its value by little: the sums of counts that two
// tenants have exchanged would be equal.
func (c Counts) hash() uint64 {
	sum := uint64(0)
	for tenant, count := range c {
		hash := fnv.New64a()
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(tenant), count)) // A hash never fails.
		sum += mixBits(hash.Sum64())
	}
	return sum
}

// mixBits has each bit of a number change half of the result's bits. It is the last step of the splitmix64 generator.
func mixBits(number uint64) uint64 {
	number = (number ^ number>>30) * 0xbf58476d1ce4e5b9 //nolint:mnd // The generator's constants.
	number = (number ^ number>>27) * 0x94d049bb133111eb //nolint:mnd // The generator's constants.
	return number ^ number>>31
}

// greaterOf returns the greater count of each tenant.
func greaterOf(left, right Counts) Counts {
	greater := Counts{}
	greater.Add(left)
	for tenant, count := range right {
		greater[tenant] = max(greater[tenant], count)
	}
	return greater
}

// CountsTable are several Counts as they are sent by encoding/gob: its field names are part of the protocol. Each
// tenant is named once, and the rows name it by its position.
type CountsTable struct {
	Tenants []string
	Rows    []CountsRow
}

// CountsRow are the counts of the tenants at some positions.
type CountsRow struct {
	Positions []uint32
	Counts    []uint64
}

// NewCountsTable returns the table of some counts. Equal counts have equal tables.
func NewCountsTable(list []Counts) CountsTable {
	var table CountsTable
	positions := map[string]uint32{}
	for _, counts := range list {
		var row CountsRow
		for _, tenant := range slices.Sorted(maps.Keys(counts)) {
			position, known := positions[tenant]
			if !known {
				position = uint32(len(table.Tenants))
				positions[tenant] = position
				table.Tenants = append(table.Tenants, tenant)
			}
			row.Positions = append(row.Positions, position)
			row.Counts = append(row.Counts, counts[tenant])
		}
		table.Rows = append(table.Rows, row)
	}
	return table
}

// List returns the counts that a table was made of, or a MalformedMessage if it contradicts itself.
func (c CountsTable) List() ([]Counts, error) {
	list := make([]Counts, 0, len(c.Rows))
	for _, row := range c.Rows {
		if len(row.Positions) != len(row.Counts) {
			return nil, errcode.New(errcode.MalformedMessage, "%d counts of %d tenants", len(row.Counts), len(row.Positions))
		}
		counts := make(Counts, len(row.Counts))
		for index, position := range row.Positions {
			if int(position) >= len(c.Tenants) {
				return nil, errcode.New(errcode.MalformedMessage, "tenant %d of %d", position, len(c.Tenants))
			}
			counts[c.Tenants[position]] = row.Counts[index]
		}
		list = append(list, counts)
	}
	return list, nil
}
