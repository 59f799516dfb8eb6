package wasabiform

import "slices"

// maxHints bounds the addresses besides those of the latest member list.
const maxHints = 32

// Addresses holds the addresses at which an instance may find its group. It is an
// immutable value, and the zero value holds none. The latest member list always has
// room; of other addresses the latest are kept, since those of members that were replaced
// are no use any more.
type Addresses struct {
	members []string
	// hints come from settings, earlier member lists and responses, the latest first.
	hints []string
}

// WithMembers returns a copy with the addresses of the latest member list. Those of the
// list before become hints.
func (a Addresses) WithMembers(list ...string) Addresses {
	if len(list) == 0 || slices.Equal(list, a.members) {
		return a
	}
	a = a.WithHints(a.members...)
	a.members = slices.Clone(list)
	return a
}

// WithHints returns a copy with further addresses, which are the latest.
func (a Addresses) WithHints(list ...string) Addresses {
	var hints []string
	for _, address := range slices.Concat(list, a.hints) {
		if address != "" && len(hints) < maxHints && !slices.Contains(hints, address) {
			hints = append(hints, address)
		}
	}
	a.hints = hints
	return a
}

// Without returns a copy without an address, such as the instance's own.
func (a Addresses) Without(address string) Addresses {
	isAddress := func(x string) bool { return x == address }
	a.members = slices.DeleteFunc(slices.Clone(a.members), isAddress)
	a.hints = slices.DeleteFunc(slices.Clone(a.hints), isAddress)
	return a
}

// All returns all addresses, those of members first.
func (a Addresses) All() []string {
	list := slices.Clone(a.members)
	for _, address := range a.hints {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// Round returns the addresses to ask in one round: n of the members and n of the hints,
// others in each round until all had their turn.
func (a Addresses) Round(round, n int) []string {
	list := turn(a.members, round, n)
	for _, address := range turn(a.hints, round, n) {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

func turn(from []string, round, n int) (list []string) {
	for k := range min(n, len(from)) {
		list = append(list, from[(round*n+k)%len(from)])
	}
	return list
}
