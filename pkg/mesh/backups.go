package mesh

import (
	"slices"
	"strconv"

	"github.com/umbercrank/umbercrank/pkg/origin"
	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// streamBackups is the number of instances of any role that hold the origin of a stream, besides its
// hubs, in a fleet with hubs. There are few hubs, and all of them may end at the same moment as the
// instance that began the stream. Which instances are hubs makes no difference to the choice, so that
// it is the same before and after other hubs are chosen.
const streamBackups = 3

// firstFor returns the first addresses for a stream, in rendezvous order.
func firstFor(key origin.Key, addresses []string, count int) []string {
	ordered := rendezvous.OrderOf(strconv.FormatUint(uint64(key), 16), addresses, func(address string) types.InstanceID { return types.InstanceID(address) })
	return ordered[:min(count, len(ordered))]
}

// liveAddresses returns the addresses of all instances that are up, including this one. m.mu must be
// held.
func (m *Mesh) liveAddresses() []string {
	live := []string{m.options.Self.PeerAddress}
	for address, member := range m.members {
		if !member.down {
			live = append(live, address)
		}
	}
	return live
}

// queueForBackups queues the origins of streams for their backups, or for the hubs of these to relay.
// What another hub relays goes to this hub's spokes only. It requests no heartbeat: backups may learn
// of a stream later than its hubs. m.mu must be held.
func (m *Mesh) queueForBackups(from string, streams []origin.Stream, relayed bool) {
	live := m.liveAddresses()
	for _, stream := range streams {
		var relays []string
		for _, address := range firstFor(stream.Key, live, streamBackups) {
			if address == from || address == m.options.Self.PeerAddress {
				continue
			}
			switch m.relation(address) {
			case spoke:
				m.members[address].pending.queueStream(stream)
			case otherHub:
				if !relayed && !slices.Contains(m.holders(stream.Key), address) {
					m.members[address].pending.queueStream(stream)
				}
			default:
				if hub := m.topology.hubs[address]; !relayed && !slices.Contains(relays, hub) {
					relays = append(relays, hub)
				}
			}
		}
		for _, hub := range relays {
			if member, ok := m.members[hub]; ok && !member.down {
				member.pending.relayed = appendBounded(member.pending.relayed, []origin.Stream{stream})
			}
		}
	}
}

// backupsToAsk returns the addresses of the live peers that are backups of the stream, except for
// those that are asked anyway. m.mu must be held.
func (m *Mesh) backupsToAsk(key origin.Key, asked []string) []string {
	if m.topology.hubs == nil {
		return nil
	}
	return slices.DeleteFunc(firstFor(key, m.liveAddresses(), streamBackups), func(address string) bool {
		return address == m.options.Self.PeerAddress || slices.Contains(asked, address)
	})
}
