package usage

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"coursepass/internal/errcode"
)

// Counts maps tenants to their numbers of requests.
type Counts map[string]uint64

// Add adds others to c, tenant by tenant.
func (c Counts) Add(others Counts) {
	for tenant, count := range others {
		c[tenant] += count
	}
}

// hash returns a hash of the counts that is the same on all machines. It is the sum of one FNV hash per tenant, of the
// tenant's name and count. The FNV hashes are mixed before they are added, because the last bytes of the input change
// an FNV hash only a little: without mixing, swapping the counts of two tenants would not change the sum.
func (c Counts) hash() uint64 {
	sum := uint64(0)
	for tenant, count := range c {
		hash := fnv.New64a()
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(tenant), count)) // Write never returns an error.
		sum += mixBits(hash.Sum64())
	}
	return sum
}

// mixBits mixes the bits of a number, so that changing one input bit changes about half of the output bits. It is the
// finalizer of the splitmix64 generator.
func mixBits(number uint64) uint64 {
	number = (number ^ number>>30) * 0xbf58476d1ce4e5b9 //nolint:mnd // The generator's constants.
	number = (number ^ number>>27) * 0x94d049bb133111eb //nolint:mnd // The generator's constants.
	return number ^ number>>31
}

// maxOfCounts returns the maximum of the two counts of each tenant.
func maxOfCounts(left, right Counts) Counts {
	result := Counts{}
	result.Add(left)
	for tenant, count := range right {
		result[tenant] = max(result[tenant], count)
	}
	return result
}

// CountsTable is the wire form of several Counts. It is encoded by encoding/gob, so its field names are part of the
// protocol. Each tenant's name occurs once, in Tenants, and the rows refer to it by its position.
type CountsTable struct {
	Tenants []string
	Rows    []CountsRow
}

// CountsRow is the wire form of one Counts. Counts[i] is the count of the tenant at Positions[i] in the Tenants of the
// table.
type CountsRow struct {
	Positions []uint32
	Counts    []uint64
}

// NewCountsTable returns a table with one row for each element of list. Equal lists result in equal tables.
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

// List returns the counts of all rows. It returns a MalformedMessage error if the table is inconsistent.
func (c CountsTable) List() ([]Counts, error) {
	list := make([]Counts, 0, len(c.Rows))
	for _, row := range c.Rows {
		if len(row.Positions) != len(row.Counts) {
			return nil, errcode.New(errcode.MalformedMessage,
				"usage row has %d counts for %d tenants", len(row.Counts), len(row.Positions))
		}
		counts := make(Counts, len(row.Counts))
		for index, position := range row.Positions {
			if int(position) >= len(c.Tenants) {
				return nil, errcode.New(errcode.MalformedMessage,
					"usage row refers to tenant position %d of a table with %d tenants", position, len(c.Tenants))
			}
			counts[c.Tenants[position]] = row.Counts[index]
		}
		list = append(list, counts)
	}
	return list, nil
}
